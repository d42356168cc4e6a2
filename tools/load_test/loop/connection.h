// A connection that never blocks, and on which things can be made to go wrong at a given byte.
#pragma once

#include <sys/epoll.h>

#include <optional>
#include <string>
#include <string_view>

#include "tools/load_test/loop/event_loop.h"

namespace load_test {

struct Address {
  std::string host;  // of 127.0.0.0/8
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};
Address read_address(std::string_view text);  // throws std::invalid_argument; loopback only

class Line final : Watcher {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_bytes(Line& line, std::string_view bytes) = 0;
    virtual void on_end(Line& line, bool reset) = 0;
    virtual void on_written(Line&) {}  // all that was sent has gone to the kernel
  };

  Line(Loop& loop, Owner& owner) : loop_(loop), owner_(owner) {}
  ~Line() override { close(); }
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  bool connect(const Address& to);  // false: refused at once
  void adopt(int descriptor);
  void send(std::string_view bytes);  // what is sent while connecting goes out once it is up
  bool written() const { return out_.size() == sent_; }
  bool up() const { return descriptor_ >= 0 && !connecting_; }
  bool open() const { return descriptor_ >= 0; }
  bool quiet() const;     // nothing lies unread, not even its end
  void finish_sending();  // half closed: the far end still may answer
  void close();
  void reset();        // the far end gets a reset
  void deaf(bool is);  // neither reads nor writes: a frozen or vanished machine
  void cut_in(std::size_t bytes) { cut_in_ = bytes; }    // reset once so many bytes more were read
  void cut_out(std::size_t bytes) { cut_out_ = bytes; }  // or written

 private:
  void on_ready(std::uint32_t events) override;
  void flush();
  void read();
  void end(bool reset);
  void ask();

  Loop& loop_;
  Owner& owner_;
  int descriptor_ = -1;
  bool connecting_ = false, deaf_ = false, unwritten_ = false;
  std::string out_;
  std::size_t sent_ = 0;
  std::optional<std::size_t> cut_in_, cut_out_;
};

// A listening socket. Full: connections to it never come up, as on a machine that is cut off.
class Listener final : Watcher {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_accepted(Listener& listener, int descriptor) = 0;
  };
  Listener(Loop& loop, Owner& owner, const Address& at, int number);  // throws std::runtime_error
  ~Listener() override { shut(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void open();         // again, after shut
  void shut();         // connections are refused
  void deaf(bool is);  // connections come up but nobody takes them
  void block();        // connections never come up, until open
  const Address& address() const { return address_; }
  int number() const { return number_; }

 private:
  void on_ready(std::uint32_t events) override;
  void listen(int backlog);

  Loop& loop_;
  Owner& owner_;
  const Address address_;
  const int number_;
  int descriptor_ = -1;
  std::vector<int> fillers_;
};

}  // namespace load_test
