// Log lines on an ostream, behind a level. Nothing is logged for a single visit below Debug.
#pragma once

#include <ostream>
#include <string_view>

namespace puffinvane {

enum class Level { Error, Warning, Info, Debug };

class Log {
 public:
  Log(std::ostream& out, Level most) : out_(out), most_(most) {}

  // One line: ends itself, and costs nothing but the test where its level is filtered out.
  class Line {
   public:
    Line(std::ostream* out, Level level);
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line();
    template <typename T>
    Line& operator<<(const T& part) {
      if (out_) *out_ << part;
      return *this;
    }

   private:
    std::ostream* out_;
  };

  Line error() { return line(Level::Error); }
  Line warning() { return line(Level::Warning); }
  Line info() { return line(Level::Info); }
  Line debug() { return line(Level::Debug); }

 private:
  Line line(Level level) { return Line(level <= most_ ? &out_ : nullptr, level); }
  std::ostream& out_;
  Level most_;
};

Level read_level(std::string_view word);  // an unknown word is Info

}  // namespace puffinvane
