// Reads typed values from parsed JSON without exceptions and records the first error. Independent of the
// messages.
#pragma once

#include <simdjson.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace puffinvane {

enum class DecodeFault {
  NotJson,
  UnsupportedFormat,  // a format of the control channel that this version doesn't support
  UnknownType,        // no message has this type
  MissingField,
  WrongType,     // a JSON value of another type, or an array of another length
  OutOfRange,    // a number or an array length outside of its valid range
  InvalidValue,  // a value that is rejected by a parser of its own (endpoint lists)
};

// The stable name of a fault in log events.
std::string_view to_string(DecodeFault fault);

struct DecodeError {
  DecodeFault fault = DecodeFault::NotJson;
  std::string_view field;  // a string literal; empty if no single field is at fault
  friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

struct IntegerRange {
  int minimum = 0;
  int maximum = 0;
};

// After an error the returned values are meaningless, so the caller needs to check for an error only once, at
// the end. Used by one function that decodes a message. The returned elements are valid as long as their
// simdjson parser.
class JsonReader {
 public:
  using Element = simdjson::dom::element;

  void fail(DecodeFault fault, std::string_view field) {
    if (!error_) error_ = DecodeError{fault, field};
  }
  const std::optional<DecodeError>& error() const { return error_; }

  // The value of an element. `field` is the name of the element in errors, here and below.
  template <typename T>
  T value(Element element, std::string_view field) {
    T read{};
    if (element.get(read)) fail(DecodeFault::WrongType, field);
    return read;
  }

  // The value of a required member of an object.
  template <typename T>
  T member(Element object, std::string_view key) {
    const std::optional<Element> found = find(object, key);
    return found ? value<T>(*found, key) : T{};
  }

  // The value of an optional member; nullopt, without an error, if it is missing or has another type.
  template <typename T>
  static std::optional<T> optional_member(Element object, std::string_view key) {
    T read{};
    if (object[key].get(read)) return std::nullopt;
    return read;
  }

  int integer(Element element, IntegerRange range, std::string_view field) {
    const auto read = value<std::int64_t>(element, field);
    if (read >= range.minimum && read <= range.maximum) return int(read);
    fail(DecodeFault::OutOfRange, field);
    return range.minimum;
  }

  // The elements of an array that must have exactly `Size` elements.
  template <std::size_t Size>
  std::optional<std::array<Element, Size>> tuple(Element element, std::string_view field) {
    std::array<Element, Size> read;
    std::size_t count = 0;
    for_each(element, field, [&](Element item) {
      if (count < Size) read[count] = item;
      ++count;
    });
    if (count == Size) return read;
    fail(DecodeFault::WrongType, field);
    return std::nullopt;
  }

  template <typename Function>
  void for_each(Element element, std::string_view field, Function function) {
    simdjson::dom::array items;
    if (element.get(items)) {
      fail(DecodeFault::WrongType, field);
      return;
    }
    for (Element item : items) function(item);
  }

  template <typename Function>
  void for_each_member(Element object, std::string_view key, Function function) {
    if (const std::optional<Element> found = find(object, key)) for_each(*found, key, function);
  }

  // A required member of an object; nullopt, with an error, if it is missing.
  std::optional<Element> find(Element object, std::string_view key) {
    Element found;
    if (!object[key].get(found)) return found;
    fail(DecodeFault::MissingField, key);
    return std::nullopt;
  }

 private:
  std::optional<DecodeError> error_;
};

}  // namespace puffinvane
