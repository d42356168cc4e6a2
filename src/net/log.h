// A log with levels that writes lines to an ostream. Messages about a single request are only logged at
// Debug.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>

#include "src/net/log_output.h"

namespace puffinvane {

enum class Level { Error, Warning, Info, Debug };
enum class LogFormat { Plain, Json };  // Json: each line is one object

class Log {
 public:
  // most_verbose: the last level that is logged. output: the stream buffer behind `out` if that may drop
  // lines; dropped_lines() reads its count.
  Log(std::ostream& out, Level most_verbose, LogFormat format = LogFormat::Plain,
      const LogOutput* output = nullptr)
      : out_(out), most_verbose_(most_verbose), format_(format), output_(output) {}

  // One free-text line; its destructor writes the line end. Nothing is formatted if the level is filtered
  // out.
  class Line {
   public:
    Line(Log* log, Level level);
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line();
    template <typename T>
    Line& operator<<(const T& part) {
      if (text_) *text_ << part;
      else if (log_) log_->out_ << part;
      return *this;
    }

   private:
    Log* log_;
    Level level_;
    std::optional<std::ostringstream> text_;  // JSON only: the whole text, as it has to be quoted
  };

  // A structured event. Its name and field names are stable (docs/sites.md lists them). A plain line reads
  // "site.reloaded version=... pools=3".
  class Event {
   public:
    Event(Log* log, Level level, std::string_view name);
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();
    Event& with(std::string_view field, std::string_view value);
    Event& with(std::string_view field, double value);
    template <std::integral Integer>
    Event& with(std::string_view field, Integer value) {
      return append(field, std::to_string(value));
    }

   private:
    Event& append(std::string_view field, const std::string& formatted_value);
    Log* log_;
    std::string line_;
  };

  Line error() { return line(Level::Error); }
  Line warning() { return line(Level::Warning); }
  Line info() { return line(Level::Info); }
  Line debug() { return line(Level::Debug); }
  Event event(Level level, std::string_view name) {
    return {level <= most_verbose_ ? this : nullptr, level, name};
  }
  bool as_json() const { return format_ == LogFormat::Json; }
  // Lines dropped since the process started.
  std::uint64_t dropped_lines() const { return output_ != nullptr ? output_->dropped_lines() : 0; }

 private:
  void end_line();
  Line line(Level level) { return Line(level <= most_verbose_ ? this : nullptr, level); }
  std::ostream& out_;
  Level most_verbose_;
  LogFormat format_;
  const LogOutput* output_;
};

// Returns Info for an unknown word.
Level parse_log_level(std::string_view word);

}  // namespace puffinvane
