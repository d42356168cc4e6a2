// HTTP/1.1 messages, read as their bytes come and written whole. No sockets here.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/buffers.h"

namespace puffinvane {

struct Header {
  std::string name, value;
};

struct HttpMessage {
  explicit HttpMessage(BufferPool& pool) : body(pool) {}
  std::string_view header(std::string_view name) const;  // empty if there is none
  int header_count(std::string_view name) const;         // how often a header stands there

  std::string method, target;  // of a request
  int status = 0;              // of an answer
  bool keep_alive = true, expects_continue = false;
  bool old = false;  // HTTP/1.0, which knows no chunks
  std::vector<Header> headers;
  BufferChain body;
};

bool same_name(std::string_view one, std::string_view other);  // header names differ in case at will

class HttpReader {
 public:
  enum class Side { Request, Response };
  enum class Fault { None, Malformed, HeadTooLarge, BodyTooLarge };
  static constexpr std::size_t kMaxHeadBytes = 16 * 1024, kMaxBodyBytes = 64 * 1024;
  static constexpr std::size_t kMaxStreamedBodyBytes = 32u << 20;

  // Bodies over most_body are faults, unless they may be taken in parts, up to most_streamed.
  HttpReader(Side side, BufferPool& pool, std::size_t most_body = kMaxBodyBytes,
             std::size_t most_streamed = 0)
      : side_(side),
        pool_(&pool),
        most_body_(std::max(most_body, most_streamed)),
        streams_(most_streamed > 0),
        message_(pool) {}

  // Returns how many bytes it used: after a whole message or a fault it takes no more.
  std::size_t feed(std::string_view bytes);
  void end_of_input();  // the connection ended: that is the end of an answer that says no length
  bool is_complete() const { return state_ == State::Whole; }
  // One empty line is what some leave behind a body; more of them are a head that never ends.
  bool started() const { return state_ != State::Start || !line_.empty() || head_ > 2; }
  bool in_body() const { return state_ >= State::Body && state_ < State::Whole; }
  Fault fault() const { return fault_; }
  bool is_streaming() const { return streams_; }
  std::optional<std::size_t> content_length() const {
    return declared_;
  }  // its body's length, once the head is read
  std::size_t body_bytes_received() const { return seen_; }
  HttpMessage take_head();  // the message, with what there is of its body; what follows comes as take_part
  BufferChain take_body_part();
  const HttpMessage& message() const { return message_; }
  HttpMessage take();
  // The answer to a HEAD says how long it would be and is not.
  void expect_no_body(bool none) { no_body_ = none; }
  std::string take_body_text();  // of an answer that goes on: what has come by now

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
  BufferPool* pool_;
  std::size_t most_body_;
  bool streams_;
  std::optional<std::size_t> declared_;
  std::size_t seen_ = 0;  // of the body
  HttpMessage message_;
  State state_ = State::Start;
  Fault fault_ = Fault::None;
  bool no_body_ = false;
  std::string line_;
  std::size_t head_ = 0, left_ = 0;
};

// Headers that belong to one connection or that each hop words anew are not passed on.
bool is_forwarded_header(std::string_view header);
// Of a body that comes in parts; size: all of it, where that is known, else it goes in chunks.
struct BodyFraming {
  std::optional<std::size_t> size;
  bool to_end = false;  // neither: its end is the connection's
};
// With parts only the head is written.
void write_request(BufferChain& out, const HttpMessage& request, std::string_view host,
                   std::string_view time_left, std::optional<BodyFraming> parts = {});
void write_response_head(BufferChain& out, const HttpMessage& from, BodyFraming parts, bool close);
void write_chunk(BufferChain& out, const BufferChain& bytes);
void write_last_chunk(BufferChain& out);
void write_response(BufferChain& out, int status, const HttpMessage* from, std::string_view more_headers,
                    std::string_view text, bool close, bool to_head = false);

}  // namespace puffinvane
