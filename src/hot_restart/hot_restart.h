// The hot restart of a process that serves: what it sends to its predecessor and its successor on the control
// channels, and how it reacts to their messages. Serving requests meanwhile is its owner's responsibility.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "puffinvane/transition_table.h"
#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_listener.h"
#include "src/hot_restart/message.h"
#include "src/hot_restart/message_encoder.h"

namespace puffinvane {

// Whether another process of this sidecar runs beside this one and holds resources under the same limits.
enum class PeerPresence { Alone, Present };

// Connects a process with its predecessor and its successor. Owned by its Owner; everything runs on the event
// loop's thread. A message that can't be decoded or sent is logged and dropped; a peer that goes away is
// logged, and the next successor may come.
class HotRestart final : Channel::Owner, ControlListener::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual GSocket* listener_socket() = 0;  // null: there is none to pass on
    virtual EndpointList endpoint_list() const = 0;
    virtual OperatorOverrides operator_overrides() const = 0;
    virtual LearnedState learned_state() const = 0;
    virtual void on_learned_state(const LearnedState& part) = 0;
    virtual void on_operator_overrides(const OperatorOverrides& overrides) = 0;
    virtual void on_connection(Ref<GSocket> socket, ConnectionHistory history) = 0;
    virtual void on_peer_presence(PeerPresence presence) = 0;
  };

  // predecessor: the control channel of a takeover; null if there was none.
  HotRestart(Loop& loop, Owner& owner, std::string control_socket_path, Ref<GSocket> predecessor);

  // The owner serves. Notifies the predecessor; from here on a successor may connect.
  void on_serving();
  bool has_successor() const { return successor_ != nullptr; }
  // True until the successor has been sent all learned state.
  bool is_sending_learned_state() const { return successor_state_ == SuccessorState::ReceivingLearnedState; }
  void send_operator_overrides();
  // Passes a client's connection to the successor. True if it was sent; else it stays with this process.
  [[nodiscard]] bool try_send_connection(GSocket* connection, ConnectionHistory history);

 private:
  enum class SuccessorState { None, ReceivingLearnedState, UpToDate };
  enum class SuccessorEvent { Connected, LearnedStateSent, Disconnected };
  static const Transition<HotRestart, SuccessorState, SuccessorEvent> kTransitions[];

  void on_control_connection(Ref<GSocket> socket) override;
  void on_packet(Channel& channel, Packet packet) override;
  void on_channel_closed(Channel& channel) override;

  void on_message(Channel& sender, OperatorOverridesMessage& message, Packet& packet);
  void on_message(Channel& sender, ConnectionMessage& message, Packet& packet);
  void on_message(Channel& sender, LearnedStateMessage& message, Packet& packet);
  // Parts of the snapshot, which request_takeover has read, and a notification that changes nothing.
  void on_message(Channel&, EndpointListMessage&, Packet&) {}
  void on_message(Channel&, ListenerMessage&, Packet&) {}
  void on_message(Channel&, SnapshotCompleteMessage&, Packet&) {}
  void on_message(Channel&, ServingMessage&, Packet&) {}

  void apply_successor_event(SuccessorEvent event);
  void begin_takeover();
  void send_snapshot();
  void send_learned_state_packet();
  void discard_learned_state();
  void discard_successor();
  void update_peer_presence();
  void forward_operator_overrides(const Channel& sender);
  const char* name_of_peer(const Channel& channel) const;

  Loop& loop_;
  Owner& owner_;
  ControlListener listener_;
  std::unique_ptr<Channel> predecessor_;
  std::unique_ptr<Channel> successor_;
  SuccessorState successor_state_ = SuccessorState::None;
  std::optional<LearnedStateEncoder> learned_state_;  // set while the successor receives it
  LifetimeToken alive_;
};

}  // namespace puffinvane
