// HTTP/1.1 as the stand-ins speak it: a second, strict reading, so that a fault of the program's own parser
// can't hide behind the same fault on the other side.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace load_test {

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool close = false;

  std::string_view header(std::string_view name) const;  // empty: not there
};

std::string write(const Message& message);  // with Content-Length; an answer where status is set

class Reader {
 public:
  enum class Of { Requests, Answers };
  explicit Reader(Of of) : of_(of) {}
  std::size_t feed(std::string_view bytes);  // how many it used; takes no more after a whole message
  void ended();                              // of the connection: ends an answer without a length
  bool whole() const { return state_ == State::Whole; }
  bool bad() const { return state_ == State::Bad; }
  bool begun() const { return state_ != State::Head || !head_.empty(); }
  Message take();

 private:
  enum class State { Head, Body, ChunkSize, Chunk, Trailer, ToEnd, Whole, Bad };
  void read_head();
  bool line(std::string_view& bytes, std::size_t& used);
  void chunk_line();

  Of of_;
  State state_ = State::Head;
  std::string head_, line_;
  std::size_t left_ = 0;
  Message message_;
};

}  // namespace load_test
