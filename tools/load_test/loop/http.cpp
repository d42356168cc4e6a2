#include "tools/load_test/loop/http.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace load_test {

namespace {

constexpr std::size_t kMostHead = 32 * 1024, kMostBody = 16u << 20;

bool same(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

template <typename Number>
bool number(std::string_view text, Number& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

std::string_view Message::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (same(key, name)) return value;
  }
  return {};
}

std::string write(const Message& message) {
  std::string out = message.status ? "HTTP/1.1 " + std::to_string(message.status) + " Said\r\n"
                                   : message.method + " " + message.target + " HTTP/1.1\r\nHost: origin\r\n";
  for (const auto& [key, value] : message.headers) out += key + ": " + value + "\r\n";
  if (message.status || message.method != "GET")
    out += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
  if (message.close) out += "Connection: close\r\n";
  return out + "\r\n" + message.body;
}

std::size_t Reader::feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ != State::Whole && state_ != State::Bad) {
    std::string_view rest = bytes.substr(used);
    if (state_ == State::Head) {
      std::size_t before = head_.size();
      head_ += rest;
      std::size_t end = head_.find("\r\n\r\n", before < 3 ? 0 : before - 3);
      if (end == std::string::npos) {
        if (head_.size() > kMostHead) state_ = State::Bad;
        return bytes.size();
      }
      used += end + 4 - before;
      head_.resize(end + 2);
      read_head();
    } else if (state_ == State::Body || state_ == State::Chunk || state_ == State::ToEnd) {
      std::size_t count = state_ == State::ToEnd ? rest.size() : std::min(left_, rest.size());
      message_.body += rest.substr(0, count);
      used += count;
      left_ -= state_ == State::ToEnd ? 0 : count;
      if (message_.body.size() > kMostBody) state_ = State::Bad;
      else if (left_ == 0 && state_ == State::Body) state_ = State::Whole;
      else if (left_ == 0 && state_ == State::Chunk) state_ = State::ChunkSize;
    } else if (line(rest, used)) {
      chunk_line();
    }
  }
  return used;
}

bool Reader::line(std::string_view& bytes, std::size_t& used) {
  std::size_t end = bytes.find('\n');
  line_ += bytes.substr(0, end == std::string_view::npos ? end : end + 1);
  used += end == std::string_view::npos ? bytes.size() : end + 1;
  if (line_.size() > kMostHead) state_ = State::Bad;
  return end != std::string_view::npos;
}

void Reader::chunk_line() {
  std::string line = std::exchange(line_, {});
  if (!line.ends_with("\r\n")) return void(state_ = State::Bad);
  line.resize(line.size() - 2);
  if (state_ == State::Trailer) {
    if (line.empty()) state_ = State::Whole;
    return;
  }
  if (line.empty() && !message_.body.empty()) return;  // the end of the chunk before
  if (!number(std::string_view(line).substr(0, line.find(';')), left_, 16)) return void(state_ = State::Bad);
  state_ = left_ == 0 ? State::Trailer : State::Chunk;
}

void Reader::read_head() {
  state_ = State::Bad;
  std::string_view rest = head_;
  auto next = [&] {
    std::size_t end = rest.find("\r\n");
    std::string_view found = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    return found;
  };
  std::string_view first = next();
  std::size_t one = first.find(' '), two = first.find(' ', one + 1);
  if (one == std::string_view::npos) return;
  if (of_ == Of::Requests) {
    if (two == std::string_view::npos || first.substr(two + 1) != "HTTP/1.1") return;
    message_.method = std::string(first.substr(0, one));
    message_.target = std::string(first.substr(one + 1, two - one - 1));
  } else if (!first.starts_with("HTTP/1.") || !number(first.substr(one + 1, 3), message_.status)) {
    return;
  }
  bool chunked = false, length = false;
  while (!rest.empty()) {
    std::string_view header = next();
    std::size_t colon = header.find(':');
    if (colon == std::string_view::npos || colon == 0) return;
    std::string_view name = header.substr(0, colon), value = trimmed(header.substr(colon + 1));
    message_.headers.emplace_back(name, value);
    if (same(name, "Transfer-Encoding")) chunked = same(value, "chunked");
    if (same(name, "Connection") && same(value, "close")) message_.close = true;
    if (!same(name, "Content-Length")) continue;
    if (length || !number(value, left_)) return;
    length = true;
  }
  if (chunked && length) return;
  head_.clear();
  if (of_ == Of::Answers && message_.status / 100 == 1) {
    message_ = Message();
    state_ = State::Head;
    left_ = 0;
  } else if (chunked) {
    state_ = State::ChunkSize;
  } else if (!length && of_ == Of::Answers) {
    state_ = State::ToEnd;
  } else {
    state_ = left_ > 0 ? State::Body : State::Whole;
  }
}

void Reader::ended() {
  if (state_ == State::ToEnd) state_ = State::Whole;
}

Message Reader::take() {
  Message taken = std::exchange(message_, {});
  state_ = State::Head;
  left_ = 0;
  head_.clear();
  line_.clear();
  return taken;
}

}  // namespace load_test
