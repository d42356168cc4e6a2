// A TCP connection that never blocks. Nothing is reported from within a call to it, only from the loop.
#pragma once

#include <string>
#include <string_view>

#include "src/net/loop.h"

namespace puffinvane {

Ref<GSocketAddress> parse_address(std::string_view address);  // "127.0.0.1:5000"; none if it is not one

class TcpConnection final : SocketEventHandler {
 public:
  // Closed: the far end said that no more comes; LocalShortage: it never came up, and nobody else is to
  // blame; Broken: anything else.
  enum class End { Closed, Broken, LocalShortage };
  // What came of asking for a connection. Refused: also where the address is none.
  enum class ConnectStart { Begun, Refused, LocalShortage };
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected() {}
    virtual void on_received(std::string_view bytes) = 0;
    virtual void on_written() {}         // what 'send' could not write at once; see 'written'
    virtual void on_ended(End end) = 0;  // closed, reset, or never came up
  };

  TcpConnection(Loop& loop, Owner& owner) : loop_(loop), owner_(owner), out_(loop.pool()) {}
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;
  ~TcpConnection() override { close(); }

  ConnectStart connect(std::string_view address);
  void adopt(Ref<GSocket> socket);
  void send(BufferChain bytes);
  bool is_all_written() const { return out_.empty(); }
  std::size_t unsent_bytes() const { return out_.size(); }
  bool is_reading() const { return wants_in_; }
  // The system has no memory for what it is to send; it is tried again soon.
  bool waits_for_memory() const { return paused_ && !out_.empty(); }
  GSocket* socket() const { return socket_.get(); }
  bool has_nothing_to_read() const;  // nothing has come that was not read, not even its end
  // Its end or a reset has come, read or not: as far as the system tells that before what lies ahead of it.
  bool has_ended() const;
  // So much lies unread that the far end may hold more, and its own end behind that, which 'over' can't see.
  bool input_may_hide_end() const;
  // Reads what has come, a buffer at most, without a word to the owner; false: there was nothing.
  bool read_into(BufferChain& into);
  // What was sent is delivered after a close too, whatever the far end has sent on: a close over unread bytes
  // resets the connection, and the system drops what the far end has not read yet.
  void deliver_after_close() { delivers_after_close_ = true; }
  void report_end_while_paused() {
    heeds_end_ = true;
  }  // also while it is not read from; nothing more is read then
  void set_reading(bool wanted);
  void shutdown_write();
  void read_in_bulk() { reads_at_once_ = kHurried; }  // what comes is only to be got over with
  void close();
  void reset();            // so that the far end can tell that what it has is not all
  Ref<GSocket> release();  // the socket as it is, open: somebody else's from now on

 private:
  void on_ready(std::uint32_t events) override;
  void writable();
  void readable();
  void want(bool in, bool out);
  void prepare();
  void flush();
  void pause();
  void break_off();
  void end_once_read();
  void discard_unread();
  bool receive();

  Loop& loop_;
  Owner& owner_;
  Ref<GSocket> socket_;
  BufferChain out_;
  static constexpr int kHurried = 32;  // 512 KiB a turn: a turn for each buffer costs more than its reading
  // Seconds after a call for which the system had no memory; each that fails again doubles it.
  static constexpr double kFirstPause = 0.005, kLongestPause = 0.04;
  // Seconds between two looks whether all has been read of a connection that takes no more.
  static constexpr double kReadOutLook = 0.02;
  int reads_at_once_ = 1;
  bool wants_in_ = false, wants_out_ = false, connecting_ = false, broken_ = false, heeds_end_ = false;
  bool paused_ = false, delivers_after_close_ = false;
  double pause_ = kFirstPause;
  LifetimeToken alive_;
};

}  // namespace puffinvane
