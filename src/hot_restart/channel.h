// Between two processes of one sidecar: packets of text, each with a socket or without.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "src/net/loop.h"

namespace puffinvane {

struct Packet {
  std::string text;
  Ref<GSocket> socket;  // none: it came without
};

constexpr std::size_t kMostPacket = 128 * 1024;

Ref<GSocket> handover_socket();  // not connected; none if there is no such thing here
// What a look for the next packet found. NotNow: the system had no memory for it; End: no more will come.
enum class Received { Packet, Nothing, NotNow, End };
Received receive_packet(GSocket* from, Packet& packet);

class Channel final : Ready {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_packet(Channel& from, Packet packet) = 0;
    virtual void on_over(Channel& channel) = 0;  // the other process is gone; its owner lets go of it later
  };

  Channel(Loop& loop, Owner& owner, Ref<GSocket> socket);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() override;

  // In order, later where it can't be at once.
  void send(std::string text);
  // At once or not at all: a client that can't go over now stays where it is.
  bool send(const std::string& text, GSocket* socket);

 private:
  void on_ready(std::uint32_t events) override;
  bool write(const std::string& text, GSocket* socket);
  void flush();
  void pause();

  Loop& loop_;
  Owner& owner_;
  Ref<GSocket> socket_;
  std::deque<std::string> waiting_;
  bool over_ = false, paused_ = false;
  Alive alive_;
};

}  // namespace puffinvane
