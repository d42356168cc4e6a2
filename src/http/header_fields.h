// The header fields of a message, in the order in which they arrived.
#pragma once

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>

namespace puffinvane {

struct HeaderField {
  std::string_view name;
  std::string_view value;
};

// All fields are kept in one text, so that a head of many short fields needs little more memory than its
// bytes. The fields that an iterator returns are valid until the next add().
class HeaderFields {
 public:
  class Iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = HeaderField;
    using difference_type = std::ptrdiff_t;
    using pointer = const HeaderField*;
    using reference = HeaderField;

    Iterator() = default;
    explicit Iterator(std::string_view rest) : rest_(rest) {}
    HeaderField operator*() const;
    Iterator& operator++();
    Iterator operator++(int);
    friend bool operator==(const Iterator& one, const Iterator& other) {
      return one.rest_.size() == other.rest_.size();
    }

   private:
    std::string_view rest_;  // the text from this field on
  };

  // `name` has no colon and neither of the two has a line break.
  void add(std::string_view name, std::string_view value);
  Iterator begin() const { return Iterator(text_); }
  Iterator end() const { return Iterator(std::string_view(text_).substr(text_.size())); }
  std::size_t capacity_bytes() const { return text_.capacity(); }

 private:
  std::string text_;  // of each field its name, a colon, its value and a line break
};

}  // namespace puffinvane
