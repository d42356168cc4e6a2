// HTTP/1.1 messages: an incremental parser, and functions that serialize messages. No I/O.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "src/http/header_fields.h"
#include "src/net/buffers.h"

namespace puffinvane {

struct HttpMessage {
  explicit HttpMessage(BufferPool& pool) : body(pool), head_memory(pool) {}
  // Charges the pool for what the head needs.
  void update_head_memory() { head_memory.set(target.capacity() + headers.capacity_bytes()); }
  // The value of the first header of that name; empty if there is none.
  std::string_view header(std::string_view name) const;
  int header_count(std::string_view name) const;  // how many headers have that name

  std::string method, target;  // of a request
  int status = 0;              // of a response
  bool keep_alive = true, expects_continue = false;
  bool is_http_1_0 = false;  // the client cannot read chunked encoding
  HeaderFields headers;
  BufferChain body;
  MemoryCharge head_memory;
};

// Compares header names, ignoring case.
bool same_name(std::string_view one, std::string_view other);

class HttpReader {
 public:
  enum class Side { Request, Response };
  enum class Fault { None, Malformed, HeadTooLarge, BodyTooLarge };
  static constexpr std::size_t kMaxHeadBytes = 16 * 1024, kMaxBodyBytes = 64 * 1024;
  static constexpr std::size_t kMaxStreamedBodyBytes = 32u << 20;

  // A body larger than max_body is a fault. With max_streamed > 0 the body can be taken out in parts while it
  // is received, and its whole length is limited by the larger of the two.
  HttpReader(Side side, BufferPool& pool, std::size_t max_body = kMaxBodyBytes, std::size_t max_streamed = 0)
      : side_(side),
        pool_(&pool),
        max_body_(std::max(max_body, max_streamed)),
        is_streaming_(max_streamed > 0),
        message_(pool),
        line_memory_(pool) {}

  // Returns the number of bytes consumed. Consumes nothing after the end of a message or after a fault.
  std::size_t feed(std::string_view bytes);
  // The connection was closed: completes a response whose body ends with the connection.
  void end_of_input();
  bool is_complete() const { return state_ == State::Complete; }
  // Bytes of memory that the part of a message received so far needs.
  std::size_t held_bytes() const {
    return message_.body.size() + message_.head_memory.bytes() + line_memory_.bytes();
  }
  // Whether any part of a message was received. One empty line does not count, as some clients send one after
  // a body; more count, so that endless empty lines meet the head timeout.
  bool started() const { return state_ != State::StartLine || !line_.empty() || head_bytes_ > 2; }
  bool in_body() const { return state_ >= State::Body && state_ < State::Complete; }
  Fault fault() const { return fault_; }
  bool is_streaming() const { return is_streaming_; }
  // The value of Content-Length, known once the head is complete.
  std::optional<std::size_t> content_length() const { return content_length_; }
  std::size_t body_bytes_received() const { return body_bytes_; }
  // Takes the head and the body received so far; the rest of the body is taken with take_body_part.
  HttpMessage take_head();
  BufferChain take_body_part();
  std::string take_body_text();  // the same as text
  const HttpMessage& message() const { return message_; }
  // Takes the message and resets the reader for the next one.
  HttpMessage take();
  // For the response to a HEAD request, which has a Content-Length but no body.
  void expect_no_body(bool none) { no_body_ = none; }

 private:
  // BodyToEnd: the body ends where the connection is closed.
  enum class State {
    StartLine,
    Headers,
    Body,
    ChunkSize,
    Chunk,
    ChunkEnd,
    Trailers,
    BodyToEnd,
    Complete,
    Failed
  };
  using LineHandler = void (HttpReader::*)();
  static const LineHandler kLineHandlers[];

  void fail(Fault fault) {
    state_ = State::Failed;
    fault_ = fault;
  }
  void handle_start_line();
  void handle_request_line();
  void handle_status_line();
  void handle_header_line();
  void handle_chunk_size_line();
  void handle_chunk_end_line();
  void handle_trailer_line();
  void finish_head();
  bool add_body(std::string_view bytes);
  void update_head_memory();

  Side side_;
  BufferPool* pool_;
  std::size_t max_body_;
  bool is_streaming_;
  std::optional<std::size_t> content_length_;
  std::size_t body_bytes_ = 0;
  HttpMessage message_;
  State state_ = State::StartLine;
  Fault fault_ = Fault::None;
  bool no_body_ = false;
  std::string line_;
  MemoryCharge line_memory_;
  std::size_t head_bytes_ = 0;  // of the start line and headers, or of the current chunk line or trailers
  std::size_t left_ = 0;        // bytes until the end of the body or chunk
};

// False for headers that belong to a single connection, and for those that each hop sets anew.
bool is_forwarded_header(std::string_view header);
// How the end of a body is marked that is sent in parts: by Content-Length, by closing the connection, or,
// with neither, by chunked encoding.
struct BodyFraming {
  std::optional<std::size_t> size;
  bool to_end = false;  // the body ends where the connection is closed
};
// With a framing only the head is written; the caller sends the body.
void write_request(BufferChain& out, const HttpMessage& request, std::string_view host,
                   std::string_view remaining_deadline, std::optional<BodyFraming> framing = {});
void write_response_head(BufferChain& out, const HttpMessage& from, BodyFraming framing, bool close);
void write_chunk(BufferChain& out, const BufferChain& bytes);
void write_last_chunk(BufferChain& out);
// Writes a whole response: its headers and body are those of `from`, or else its body is `text`.
void write_response(BufferChain& out, int status, const HttpMessage* from, std::string_view more_headers,
                    std::string_view text, bool close, bool is_head_request = false);

}  // namespace puffinvane
