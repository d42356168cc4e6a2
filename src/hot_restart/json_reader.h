// Reads typed values out of parsed JSON without exceptions and keeps the first error. It knows no message.
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
  UnsupportedFormat,  // another version of the control channel
  UnknownType,        // no message of that type
  MissingField,
  WrongType,     // a JSON value of another kind, or an array of another length
  OutOfRange,    // a number or a count that no sender can mean
  InvalidValue,  // a value that its own parser refuses
};

// A stable name for logs.
std::string_view to_string(DecodeFault fault);

struct DecodeError {
  DecodeFault fault = DecodeFault::NotJson;
  std::string_view field;  // a literal; empty if no field is to blame
  friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

struct IntegerRange {
  int minimum = 0;
  int maximum = 0;
};

// After an error the values it gives mean nothing, so that its user checks for errors once, at the end.
// Owned by the function that decodes a message; elements that it gives belong to their simdjson parser.
class JsonReader {
 public:
  using Element = simdjson::dom::element;

  void fail(DecodeFault fault, std::string_view field) {
    if (!error_) error_ = DecodeError{fault, field};
  }
  const std::optional<DecodeError>& error() const { return error_; }

  // `field` names the element in errors.
  template <typename T>
  T value(Element element, std::string_view field) {
    T read{};
    if (element.get(read)) fail(DecodeFault::WrongType, field);
    return read;
  }

  // A required member of an object.
  template <typename T>
  T member(Element object, std::string_view key) {
    const std::optional<Element> found = find(object, key);
    return found ? value<T>(*found, key) : T{};
  }

  // Nothing if the member is missing or of another kind; neither is an error.
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

  // The elements of an array that has to be of that size.
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

  // Nothing, and an error, if the object has no such member.
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
