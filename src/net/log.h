// Log lines on an ostream, behind a level. Nothing is logged for a single request below Debug.
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
enum class LogFormat { Plain, Json };  // Json: an object a line

class Log {
 public:
  // output: what `out` writes to, where lines may be dropped rather than block.
  Log(std::ostream& out, Level most, LogFormat format = LogFormat::Plain, const LogOutput* output = nullptr)
      : out_(out), most_(most), format_(format), output_(output) {}

  // One line: ends itself, and costs nothing but the test where its level is filtered out.
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
    std::optional<std::ostringstream> text_;  // held until its end, to be quoted
  };

  // An event by its name, with fields: both are stable (docs/sites.md lists them). In plain lines they read
  // "site.reloaded version=... pools=3".
  class Event {
   public:
    Event(Log* log, Level level, std::string_view name);
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();
    Event& with(std::string_view field, std::string_view value);
    Event& with(std::string_view field, double value);
    template <std::integral Whole>
    Event& with(std::string_view field, Whole value) {
      return raw(field, std::to_string(value));
    }

   private:
    Event& raw(std::string_view field, const std::string& value);
    Log* log_;
    std::string line_;
  };

  Line error() { return line(Level::Error); }
  Line warning() { return line(Level::Warning); }
  Line info() { return line(Level::Info); }
  Line debug() { return line(Level::Debug); }
  Event event(Level level, std::string_view name) { return {level <= most_ ? this : nullptr, level, name}; }
  bool as_json() const { return format_ == LogFormat::Json; }
  // Since the process started.
  std::uint64_t dropped_lines() const { return output_ != nullptr ? output_->dropped_lines() : 0; }

 private:
  void end_line();
  Line line(Level level) { return Line(level <= most_ ? this : nullptr, level); }
  std::ostream& out_;
  Level most_;
  LogFormat format_;
  const LogOutput* output_;
};

Level parse_log_level(std::string_view word);  // an unknown word is Info

}  // namespace puffinvane
