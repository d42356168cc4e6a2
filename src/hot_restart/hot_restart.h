// Hot restart as seen by a process that serves: exchanges messages with its predecessor and its successor on
// the control channels. Its owner serves requests meanwhile.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "puffinvane/transition_table.h"
#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_listener.h"
#include "src/hot_restart/message.h"
#include "src/hot_restart/message_encoder.h"
#include "src/hot_restart/unsent_request_ids.h"

namespace puffinvane {

// Whether this process is alone or a predecessor or successor is running too, which uses resources under the
// same limits.
enum class PeerPresence { Alone, Present };

// Connects a process with its predecessor and its successor. Belongs to its Owner; everything runs on the
// event loop's thread. A message that can't be decoded, or is too large to send, is logged and dropped. The
// end of a peer is logged; after that of the successor, another one may connect.
class HotRestart final : Channel::Owner, ControlListener::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual GSocket* listener_socket() = 0;  // null if there is none to pass on
    virtual EndpointList endpoint_list() const = 0;
    virtual OperatorOverrides operator_overrides() const = 0;
    virtual LearnedState learned_state() const = 0;
    virtual void on_learned_state(const LearnedState& part) = 0;
    // All orders of a peer, which replace the own ones.
    virtual void on_operator_overrides(const OperatorOverrides& overrides) = 0;
    // An order that a peer has accepted or learned of.
    virtual void on_operator_order(const OperatorOrder& order) = 0;
    virtual void on_connection(Ref<GSocket> socket, ConnectionHistory history) = 0;
    virtual void on_peer_presence(PeerPresence presence) = 0;
    // Hashes of the ids of requests that were sent to endpoints and may still run.
    virtual std::vector<std::uint64_t> sent_requests() const { return {}; }
    // The peer has sent these.
    virtual void on_sent_requests(const std::vector<std::uint64_t>& /*id_hashes*/) {}
  };

  // `predecessor` is the socket of the control channel to the predecessor; null if there is none.
  HotRestart(Loop& loop, Owner& owner, std::string control_socket_path, Ref<GSocket> predecessor);

  // To be called once the owner serves: notifies the predecessor and accepts a successor from then on.
  void on_serving();
  bool has_successor() const { return successor_ != nullptr; }
  // Whether there is a successor for which learned state is still being sent.
  bool is_sending_learned_state() const { return successor_state_ == SuccessorState::ReceivingLearnedState; }
  // Whether messages for the successor wait for room in its channel. They are lost if this process ends.
  bool has_unsent_messages() const { return successor_ && successor_->has_backlog(); }
  // To be called after the owner has carried the order out.
  void send_operator_order(const OperatorOrder& order);
  // Notifies the predecessor and the successor soon, if there are any.
  void note_sent_request(std::uint64_t id_hash);
  // Passes a client's connection to the successor. Returns false if it wasn't sent: this process keeps it.
  [[nodiscard]] bool try_send_connection(GSocket* connection, ConnectionHistory history);

 private:
  enum class SuccessorState { None, ReceivingLearnedState, UpToDate };
  enum class SuccessorEvent { Connected, LearnedStateSent, Disconnected };
  static const Transition<HotRestart, SuccessorState, SuccessorEvent> kTransitions[];

  void on_control_connection(Ref<GSocket> socket) override;
  void on_packet(Channel& channel, Packet packet) override;
  void on_channel_closed(Channel& channel) override;

  void on_message(Channel& sender, OperatorOverridesMessage& message, Packet& packet);
  void on_message(Channel& sender, OperatorOrderMessage& message, Packet& packet);
  void on_message(Channel& sender, ConnectionMessage& message, Packet& packet);
  void on_message(Channel& sender, LearnedStateMessage& message, Packet& packet);
  void on_message(Channel&, SentRequestsMessage& message, Packet&) {
    owner_.on_sent_requests(message.id_hashes);
  }
  // Ignored: request_takeover has already read the parts of the snapshot, and ServingMessage needs no
  // reaction.
  void on_message(Channel&, EndpointListMessage&, Packet&) {}
  void on_message(Channel&, ListenerMessage&, Packet&) {}
  void on_message(Channel&, SnapshotCompleteMessage&, Packet&) {}
  void on_message(Channel&, ServingMessage&, Packet&) {}

  void apply_successor_event(SuccessorEvent event);
  void begin_takeover();
  void send_snapshot();
  void send_sent_requests();
  void send_learned_state_packet();
  void discard_learned_state();
  void discard_successor();
  void update_peer_presence();
  void forward_operator_overrides(const Channel& sender);
  void send_order_to(Channel& channel, const OperatorOrder& order);
  Channel* other_peer(const Channel& sender) const;
  bool& sends_orders(const Channel& channel);
  const char* peer_name(const Channel& channel) const;

  Loop& loop_;
  Owner& owner_;
  ControlListener listener_;
  std::unique_ptr<Channel> predecessor_;
  std::unique_ptr<Channel> successor_;
  SuccessorState successor_state_ = SuccessorState::None;
  UnsentRequestIds ids_for_predecessor_;
  UnsentRequestIds ids_for_successor_;
  // Whether the peer is known to send OperatorOrderMessage.
  bool predecessor_sends_orders_ = false;
  bool successor_sends_orders_ = false;
  bool is_sending_ids_scheduled_ = false;
  std::optional<LearnedStateEncoder> learned_state_;  // set while it is being sent
  LifetimeToken alive_;
};

}  // namespace puffinvane
