#include "src/http/header_fields.h"

#include <utility>

namespace puffinvane {

namespace {
constexpr char kNameEnd = ':';
constexpr char kFieldEnd = '\n';
}  // namespace

HeaderField HeaderFields::Iterator::operator*() const {
  const std::size_t name_end = rest_.find(kNameEnd);
  const std::size_t field_end = rest_.find(kFieldEnd, name_end);
  return {rest_.substr(0, name_end), rest_.substr(name_end + 1, field_end - name_end - 1)};
}

HeaderFields::Iterator& HeaderFields::Iterator::operator++() {
  rest_.remove_prefix(rest_.find(kFieldEnd) + 1);
  return *this;
}

HeaderFields::Iterator HeaderFields::Iterator::operator++(int) {
  Iterator before = *this;
  ++*this;
  return before;
}

void HeaderFields::add(std::string_view name, std::string_view value) {
  text_.append(name).push_back(kNameEnd);
  text_.append(value).push_back(kFieldEnd);
}

}  // namespace puffinvane
