#include "sidecar/loop/log.h"

namespace puffinvane {

namespace {
constexpr std::string_view kLevels[] = {"error", "warning", "info", "debug"};
}

Log::Line::Line(std::ostream* out, Level level) : out_(out) {
  if (out_) *out_ << kLevels[static_cast<int>(level)] << ": ";
}

Log::Line::~Line() {
  if (out_) *out_ << std::endl;
}

Level read_level(std::string_view word) {
  for (int i = 0; i < 4; ++i) {
    if (word == kLevels[i]) return static_cast<Level>(i);
  }
  return Level::Info;
}

}  // namespace puffinvane
