#include "src/net/log.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace puffinvane {

namespace {

constexpr std::string_view kLevelNames[] = {"error", "warning", "info", "debug"};

std::string quote_json(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The fields that every JSON line begins with. The time is Unix time in seconds, with milliseconds.
std::string json_line_start(Level level, std::string_view name) {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  long long ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::string fraction = std::to_string(ms % 1000);
  return "{\"time\":" + std::to_string(ms / 1000) + "." + std::string(3 - fraction.size(), '0') + fraction +
         ",\"level\":\"" + std::string(kLevelNames[int(level)]) + "\",\"event\":" + quote_json(name);
}

}  // namespace

// Clears the error of a failed write: otherwise the stream would discard all later lines too.
void Log::end_line() {
  out_ << std::endl;
  if (!out_) out_.clear();
}

Log::Line::Line(Log* log, Level level) : log_(log), level_(level) {
  if (log_ && log_->as_json()) text_.emplace();
  else if (log_) log_->out_ << kLevelNames[int(level)] << ": ";
}

Log::Line::~Line() {
  if (!log_) return;
  if (text_)
    log_->out_ << json_line_start(level_, "message") << ",\"text\":" << quote_json(text_->str()) << "}";
  log_->end_line();
}

Log::Event::Event(Log* log, Level level, std::string_view name) : log_(log) {
  if (!log_) return;
  line_ = log_->as_json() ? json_line_start(level, name)
                          : std::string(kLevelNames[int(level)]) + ": " + std::string(name);
}

Log::Event::~Event() {
  if (!log_) return;
  log_->out_ << line_ << (log_->as_json() ? "}" : "");
  log_->end_line();
}

Log::Event& Log::Event::append(std::string_view field, const std::string& formatted_value) {
  if (!log_) return *this;
  if (log_->as_json()) line_.append(",").append(quote_json(field)).append(":").append(formatted_value);
  else line_.append(" ").append(field).append("=").append(formatted_value);
  return *this;
}

Log::Event& Log::Event::with(std::string_view field, std::string_view value) {
  if (!log_) return *this;
  // A value in a plain line is quoted if its end would be ambiguous otherwise.
  bool bare = !log_->as_json() && !value.empty() && value.find_first_of(" \"=\n") == std::string_view::npos;
  return append(field, bare ? std::string(value) : quote_json(value));
}

Log::Event& Log::Event::with(std::string_view field, double value) {
  return append(field, nlohmann::json(value).dump());
}

Level parse_log_level(std::string_view word) {
  for (int i = 0; i < 4; ++i) {
    if (word == kLevelNames[i]) return static_cast<Level>(i);
  }
  return Level::Info;
}

}  // namespace puffinvane
