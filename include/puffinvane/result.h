// The result of an operation that can fail in a way that the caller handles: a value or a typed error.
#pragma once

#include <utility>
#include <variant>

namespace puffinvane {

// Holds either a T or an Error, which must be different types. Accessing the one that is not held is a
// programming error and throws std::bad_variant_access.
template <typename T, typename Error>
class Result {
 public:
  Result(T value) : state_(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : state_(std::in_place_index<1>, std::move(error)) {}

  bool has_value() const { return state_.index() == 0; }
  explicit operator bool() const { return has_value(); }
  T& value() { return std::get<0>(state_); }
  const T& value() const { return std::get<0>(state_); }
  const Error& error() const { return std::get<1>(state_); }

 private:
  std::variant<T, Error> state_;
};

}  // namespace puffinvane
