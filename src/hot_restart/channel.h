// The control channel between two processes of one sidecar: packets of text over a Unix socket, each with a
// socket attached or without. It does not know what the packets mean.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "src/net/loop.h"

namespace puffinvane {

constexpr std::size_t kMaxPacketBytes = std::size_t{128} * 1024;

struct Packet {
  std::string text;
  Ref<GSocket> socket;  // null if none was attached
};

enum class ReceiveStatus {
  Received,
  WouldBlock,
  TryLater,  // the system had no memory for the call
  Closed,    // no packet will come any more
};

struct ReceiveResult {
  ReceiveStatus status = ReceiveStatus::WouldBlock;
  Packet packet;  // empty unless status is Received
};

// A non-blocking control socket that is not connected; null if the system refuses one.
Ref<GSocket> create_control_socket();

// Receives one packet without blocking. Of several attached sockets the first is kept.
ReceiveResult receive_packet(GSocket* socket);

// One end of a control channel. Owned by its Owner; everything runs on the event loop's thread. An error of
// the socket closes the channel.
class Channel final : SocketEventHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_packet(Channel& channel, Packet packet) = 0;
    // The peer is gone. Called from within the channel, so the owner may not destroy it before it returns.
    virtual void on_channel_closed(Channel& channel) = 0;
  };

  Channel(Loop& loop, Owner& owner, Ref<GSocket> socket);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() override;

  // Sends after everything queued before, later if the socket is full. Text over kMaxPacketBytes is logged
  // and dropped.
  void send(std::string text);

  // Sends a packet with a socket attached, now or not at all. True if it was sent.
  [[nodiscard]] bool try_send(const std::string& text, GSocket* attached_socket);

 private:
  enum class State { Open, Paused, Closed };
  enum class WriteStatus { Written, WouldBlock, TryLater, Failed };

  void on_ready(std::uint32_t events) override;
  void on_pause_elapsed();
  void receive_packets();
  WriteStatus write(const std::string& text, GSocket* attached_socket);
  WriteStatus write_queued_packets();
  void flush();
  void pause();
  void close();

  Loop& loop_;
  Owner& owner_;
  Ref<GSocket> socket_;
  std::deque<std::string> queued_packets_;
  State state_ = State::Open;
  LifetimeToken alive_;
};

}  // namespace puffinvane
