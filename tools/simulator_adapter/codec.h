// The bench's wire, as JSON: what its names mean to the decision module, and the lines written back.
#pragma once

#include <simdjson.h>

#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/policy.h"
#include "src/config/settings/deployment.h"

namespace puffinvane::wire {

// The values of one message, read by their place; what is missing or of the wrong sort is Malformed.
class Message {
 public:
  explicit Message(simdjson::dom::element line);
  std::string_view name() const { return name_; }
  std::int64_t whole(std::size_t place, const char* what) const;
  std::uint64_t natural(std::size_t place, const char* what) const;
  double number(std::size_t place, const char* what) const;
  bool flag(std::size_t place, const char* what) const;
  std::string_view text(std::size_t place, const char* what) const;
  std::string_view text_or_none(std::size_t place) const;
  double number_or_none(std::size_t place) const;
  simdjson::dom::element at(std::size_t place, const char* what) const;
  Load load(std::size_t place) const;  // no load report, none in it that counts: nothing reported

 private:
  [[noreturn]] void lacks(const char* what) const;
  std::string_view name_;
  std::vector<simdjson::dom::element> values_;
};

std::vector<ListEntry> read_entries(simdjson::dom::element entries);
Outcome read_outcome(std::int64_t result);

void write_text(std::string& out, std::string_view text);
void write_number(std::string& out, double value);
void write_whole(std::string& out, std::uint64_t value);

}  // namespace puffinvane::wire
