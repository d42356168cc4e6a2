// HTTP/1.1 messages, read as their bytes come and written whole. No sockets here.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/memory/buffers.h"

namespace puffinvane {

struct Header {
  std::string name, value;
};

struct HttpMessage {
  explicit HttpMessage(Pool& pool) : body(pool) {}
  std::string_view header(std::string_view name) const;  // empty if there is none
  int count(std::string_view name) const;                // how often a header stands there

  std::string method, target;  // of a request
  int status = 0;              // of an answer
  bool keep_alive = true, expects_continue = false;
  std::vector<Header> headers;
  Chain body;
};

bool same_name(std::string_view one, std::string_view other);  // header names differ in case at will

class HttpReader {
 public:
  enum class Side { Request, Answer };
  enum class Fault { None, Malformed, HeadTooLarge, BodyTooLarge };
  static constexpr std::size_t kMostHead = 16 * 1024, kMostBody = 64 * 1024;

  HttpReader(Side side, Pool& pool, std::size_t most_body = kMostBody)
      : side_(side), pool_(&pool), most_body_(most_body), message_(pool) {}

  // Returns how many bytes it used: after a whole message or a fault it takes no more.
  std::size_t feed(std::string_view bytes);
  void end();  // the connection ended: that is the end of an answer that says no length
  bool whole() const { return state_ == State::Whole; }
  // One empty line is what some leave behind a body; more of them are a head that never ends.
  bool started() const { return state_ != State::Start || !line_.empty() || head_ > 2; }
  bool in_body() const { return state_ >= State::Body && state_ < State::Whole; }
  Fault fault() const { return fault_; }
  const HttpMessage& message() const { return message_; }
  HttpMessage take();
  // The answer to a HEAD says how long it would be and is not.
  void expect_no_body(bool none) { no_body_ = none; }
  std::string take_body();  // of an answer that goes on: what has come by now

 private:
  enum class State { Start, Headers, Body, ChunkSize, Chunk, ChunkEnd, Trailers, ToEnd, Whole, Bad };
  using Step = void (HttpReader::*)();
  static const Step kLineSteps[];

  void fail(Fault fault) { state_ = State::Bad, fault_ = fault; }
  void start_line();
  void request_line();
  void status_line();
  void header_line();
  void chunk_size_line();
  void chunk_end_line();
  void trailer_line();
  void head_done();
  bool add_body(std::string_view bytes);

  Side side_;
  Pool* pool_;
  std::size_t most_body_;
  HttpMessage message_;
  State state_ = State::Start;
  Fault fault_ = Fault::None;
  bool no_body_ = false;
  std::string line_;
  std::size_t head_ = 0, left_ = 0;
};

// Headers that belong to one connection or that each hop words anew are not passed on.
bool passes_on(std::string_view header);
void write_request(Chain& out, const HttpMessage& request, std::string_view host, std::string_view time_left);
void write_answer(Chain& out, int status, const HttpMessage* from, std::string_view more_headers,
                  std::string_view text, bool close, bool to_head = false);

}  // namespace puffinvane
