// A non-blocking TCP connection. Its owner is only called from the event loop, never from within a call to
// the connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/net/loop.h"

namespace puffinvane {

// Parses an address and port as in "127.0.0.1:5000". Returns null if it is not one.
Ref<GSocketAddress> parse_address(std::string_view address);

class TcpConnection final : SocketEventHandler {
 public:
  // Closed: the peer closed its sending side. LocalShortage: the connection was never established, for lack
  // of a resource on this machine. Broken: any other failure.
  enum class End { Closed, Broken, LocalShortage };
  // The result of connect(). Refused is also returned for an invalid address.
  enum class ConnectStart { Begun, Refused, LocalShortage };
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected() {}
    // The most bytes that may be received now, out of a buffer's size. 0: none, asked again after a short
    // while.
    virtual std::size_t receive_limit() const { return BufferPool::kSize; }
    virtual void on_received(std::string_view bytes) = 0;
    // Asked before bytes that send() could not write at once are written later. If it returns false, they are
    // not written, and the owner closes the connection soon.
    virtual bool may_write() { return true; }
    // All bytes that send() could not write at once are written.
    virtual void on_written() {}
    // The connection was closed or reset, or was never established.
    virtual void on_ended(End end) = 0;
  };

  TcpConnection(Loop& loop, Owner& owner) : loop_(loop), owner_(owner), unsent_(loop.pool()) {}
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;
  ~TcpConnection() override { close(); }

  ConnectStart connect(std::string_view address);
  // Uses a connected socket.
  void adopt(Ref<GSocket> socket);
  void send(BufferChain bytes);
  bool is_all_written() const { return unsent_.empty(); }
  std::size_t unsent_bytes() const { return unsent_.size(); }
  // Whether the peer's machine has acknowledged all bytes given to send().
  bool is_all_delivered() const { return is_all_written() && unacknowledged_bytes() == 0; }
  // Bytes given to send() that the peer's machine has acknowledged, since the connection began.
  std::uint64_t delivered_bytes() const;
  bool is_reading() const { return reading_; }
  // Bytes are left to send, but the system is out of memory; sending is retried soon.
  bool waits_for_memory() const { return paused_ && !unsent_.empty(); }
  GSocket* socket() const { return socket_.get(); }
  // Neither input nor the end of the connection is waiting to be read.
  bool has_nothing_to_read() const;
  // The end of the connection or a reset has arrived, even behind unread input, as far as the system reports
  // that.
  bool has_ended() const;
  // So much input is unread that the peer may still hold more, followed by its end, which has_ended() can't
  // detect.
  bool input_may_hide_end() const;
  // Bytes that have arrived and are unread; 0 if the system doesn't tell.
  std::size_t unread_bytes() const;
  // The last bytes of the unread input, `max_bytes` at most, which stay unread. Empty if the system doesn't
  // tell.
  std::optional<std::string> unread_tail(std::size_t max_bytes) const;
  // Reads at most one buffer of input without calling the owner. Returns false if there was none.
  bool read_into(BufferChain& into);
  // Makes close() deliver what was sent even if input is unread: closing a socket with unread input resets
  // the connection, and the peer then loses what it has not read yet.
  void deliver_after_close() { delivers_after_close_ = true; }
  // Reports the end of the connection also while reading is off; nothing more is read then.
  void report_end_while_paused() { reports_end_while_paused_ = true; }
  void set_reading(bool on);
  void shutdown_write();
  // Reads more in each iteration, for input that is only discarded.
  void read_in_bulk() { max_reads_ = kBulkReads; }
  void close();
  // Closes with a reset, so that the peer knows that what it received is incomplete.
  void reset();
  // Gives up the open socket, which from now on belongs to the caller.
  Ref<GSocket> release();

 private:
  void on_ready(std::uint32_t events) override;
  void on_writable();
  void on_readable();
  void watch_for(bool reading, bool writing);
  void configure_socket();
  void flush();
  void pause();
  void on_send_failed();
  void report_end_once_read();
  std::size_t unacknowledged_bytes() const;
  void discard_unread();
  bool receive();

  Loop& loop_;
  Owner& owner_;
  Ref<GSocket> socket_;
  BufferChain unsent_;
  std::uint64_t given_bytes_ = 0;        // to send()
  static constexpr int kBulkReads = 32;  // 512 KiB: an iteration for each buffer costs more than reading it
  // Seconds to wait after a call failed for lack of memory; doubled after each further failure.
  static constexpr double kFirstPause = 0.005;
  static constexpr double kMaxPause = 0.04;
  // Seconds between checks for whether all input of a connection whose sending side failed has been read.
  static constexpr double kReadOutPollInterval = 0.02;
  int max_reads_ = 1;  // in one iteration of the loop
  bool reading_ = false;
  bool writing_ = false;  // waits until the socket is writable
  bool connecting_ = false;
  bool send_failed_ = false;
  bool reports_end_while_paused_ = false;
  bool paused_ = false;  // for lack of memory
  bool delivers_after_close_ = false;
  bool is_write_shut_ = false;
  double pause_ = kFirstPause;
  LifetimeToken alive_;
};

}  // namespace puffinvane
