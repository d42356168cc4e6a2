// HTTP/1.1 for the stand-ins: a strict implementation that is independent of the program under test, so that
// a fault in that program's parser is not hidden by the same fault here.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace load_test {

struct HttpMessage {
  std::string method, target;  // of requests
  int status = 0;              // of responses; 0 for requests
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool close = false;

  std::string_view header(std::string_view name) const;  // empty if the header is missing
};

// Adds Content-Length. A message with a status is a response.
std::string serialize(const HttpMessage& message);

class HttpReader {
 public:
  enum class Kind { Requests, Responses };
  explicit HttpReader(Kind kind) : kind_(kind) {}
  // Returns the number of bytes consumed; consumes none after a complete message.
  std::size_t feed(std::string_view bytes);
  void connection_closed();  // ends a response that has no length
  bool complete() const { return state_ == State::Complete; }
  bool invalid() const { return state_ == State::Invalid; }
  bool started() const { return state_ != State::Head || !head_.empty(); }
  HttpMessage take();

 private:
  enum class State { Head, Body, ChunkSize, Chunk, Trailer, UntilClose, Complete, Invalid };
  void parse_head();
  bool read_line(std::string_view& bytes, std::size_t& consumed);
  void parse_chunk_line();

  Kind kind_;
  State state_ = State::Head;
  std::string head_, line_;
  std::size_t body_remaining_ = 0;
  HttpMessage message_;
};

}  // namespace load_test
