// Two processes of one sidecar, the one taking over from the other under load.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/message.h"

namespace puffinvane {

// What a successor has from its predecessor when it starts.
struct Takeover {
  Ref<GSocket> predecessor, listener;
  std::optional<EndpointList> list;
  OperatorOverrides overrides;
};

// Where the processes of the sidecar that listens there meet; empty: nowhere.
std::string control_path(std::string_view listen);
// Asks there; nothing if nobody answers whole within that time, with why in a few words if somebody should
// have. Blocks: nothing is served yet.
std::optional<Takeover> request_takeover(const std::string& place, double within, std::string& why);

class HotRestart final : Channel::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual GSocket* listener() = 0;
    virtual EndpointList listing() const = 0;
    virtual OperatorOverrides overrides() const = 0;
    virtual LearnedState learned() const = 0;
    virtual void on_learned(const LearnedState& part) = 0;
    virtual void on_overrides(const OperatorOverrides& overrides) = 0;
    virtual void on_connection(Ref<GSocket> socket, bool asked) = 0;
    virtual void on_company(bool two) = 0;  // whether two processes share the limits
  };

  HotRestart(Loop& loop, Owner& owner, std::string place, Ref<GSocket> predecessor);
  ~HotRestart() override;

  void serving();  // from here on the next one may come
  bool has_successor() const { return successor_ != nullptr; }
  void send_overrides() { send_overrides(nullptr); }
  bool hand_over(GSocket* client, bool asked);
  bool transferring() const {
    return transfer_.has_value();
  }  // its successor has not heard all that was learned

 private:
  void on_packet(Channel& from, Packet packet) override;
  void on_over(Channel& channel) override;
  void listen();
  void accept();
  static gboolean connection_waits(GSocket*, GIOCondition, gpointer self);
  void send_overrides(const Channel* but);
  void send_learned();

  Loop& loop_;
  Owner& owner_;
  const std::string place_;
  std::unique_ptr<Channel> predecessor_, successor_;
  struct Transfer {
    LearnedState learned;
    std::size_t sent = 0;  // endpoints
  };
  std::optional<Transfer> transfer_;
  Ref<GSocket> socket_;
  Source source_;
  std::uint64_t file_ = 0;  // at the place: ours
  bool complained_ = false;
  int refused_ = 0;  // tries to listen there, in a row
  Alive alive_;
};

}  // namespace puffinvane
