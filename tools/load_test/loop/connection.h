// Non-blocking TCP connections and listeners on loopback, with faults that can be injected.
#pragma once

#include <sys/epoll.h>

#include <optional>
#include <string>
#include <string_view>

#include "tools/load_test/loop/event_loop.h"

namespace load_test {

struct Address {
  std::string host;  // within 127.0.0.0/8
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};
// Throws std::invalid_argument unless the text is HOST:PORT with a loopback address.
Address parse_address(std::string_view text);

class Connection final : Watcher {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_bytes(Connection& connection, std::string_view bytes) = 0;
    virtual void on_end(Connection& connection, bool reset) = 0;
    virtual void on_all_written(Connection&) {}  // all sent bytes were passed to the kernel
  };

  Connection(EventLoop& loop, Owner& owner) : loop_(loop), owner_(owner) {}
  ~Connection() override { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool connect(const Address& to);  // false if it is refused immediately
  void attach(int fd);
  void send(std::string_view bytes);  // bytes sent while connecting are written once the connection is up
  bool all_written() const { return out_.size() == sent_; }
  bool connected() const { return fd_ >= 0 && !connecting_; }
  bool is_open() const { return fd_ >= 0; }
  bool has_no_input() const;  // open, and neither unread bytes nor the end of the stream
  void shutdown_write();      // half-closes the connection; the peer can still send
  void close();
  void reset();                  // closes the connection with a TCP reset
  void set_paused(bool paused);  // while paused it neither reads nor writes, like a frozen machine
  // Resets the connection after so many more bytes were read, or written.
  void reset_after_reading(std::size_t bytes) { read_until_reset_ = bytes; }
  void reset_after_writing(std::size_t bytes) { write_until_reset_ = bytes; }

 private:
  void on_ready(std::uint32_t events) override;
  void flush();
  void read();
  void handle_end(bool reset);
  void update_events();

  EventLoop& loop_;
  Owner& owner_;
  int fd_ = -1;
  bool connecting_ = false, paused_ = false, write_pending_ = false;
  std::string out_;
  std::size_t sent_ = 0;
  std::optional<std::size_t> read_until_reset_, write_until_reset_;
};

// A listening socket that can refuse connections or make them hang.
class Listener final : Watcher {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_accepted(Listener& listener, int fd) = 0;
  };
  Listener(EventLoop& loop, Owner& owner, const Address& at, int number);  // throws std::runtime_error
  ~Listener() override { stop_listening(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void open();                   // resumes listening after stop_listening or block_connects
  void stop_listening();         // new connections are refused
  void set_paused(bool paused);  // while paused, connections are established but not accepted
  void block_connects();         // new connections are never established, until open
  const Address& address() const { return address_; }
  int number() const { return number_; }

 private:
  void on_ready(std::uint32_t events) override;
  void listen(int backlog);

  EventLoop& loop_;
  Owner& owner_;
  const Address address_;
  const int number_;
  int fd_ = -1;
  std::vector<int> backlog_fillers_;
};

}  // namespace load_test
