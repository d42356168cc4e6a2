// The control channel between two processes of one sidecar: sends packets of text over a Unix socket, each
// with an optional attached socket. It does not interpret the packets.
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
  TryLater,  // the system is out of memory, or signals interrupted the call
  Closed,    // no more packets can be received
};

struct ReceiveResult {
  ReceiveStatus status = ReceiveStatus::WouldBlock;
  Packet packet;  // empty unless status is Received
};

// Creates an unconnected, non-blocking control socket; null on failure.
Ref<GSocket> create_control_socket();

// Receives one packet without blocking. If several sockets are attached, all but the first are closed.
ReceiveResult receive_packet(GSocket* socket);

// One end of a control channel. Belongs to its Owner; everything runs on the event loop's thread. A socket
// error closes the channel.
class Channel final : SocketEventHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_packet(Channel& channel, Packet packet) = 0;
    // The peer has closed its end, or the socket has failed. Called by the channel itself, so the owner must
    // not destroy the channel before this call returns.
    virtual void on_channel_closed(Channel& channel) = 0;
  };

  Channel(Loop& loop, Owner& owner, Ref<GSocket> socket);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() override;

  // Sends a packet, or queues it if the socket's buffer is full. Packets are sent in order. One that is
  // longer than kMaxPacketBytes is dropped, which is logged.
  void send(std::string text);

  // Whether packets wait for room in the socket's buffer.
  bool has_backlog() const { return !queued_packets_.empty(); }

  // Sends a packet with an attached socket without queueing it. Returns false if it could not be sent now.
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
