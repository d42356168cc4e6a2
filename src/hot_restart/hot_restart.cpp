#include "src/hot_restart/hot_restart.h"

#include <utility>
#include <variant>

#include "src/hot_restart/message_decoder.h"

namespace puffinvane {

namespace {

// For the control listener's socket and the channels to both peers.
constexpr int kReservedDescriptors = 3;
constexpr double kResendInterval = 0.01;  // seconds, to a peer whose channel is full

}  // namespace

const Transition<HotRestart, HotRestart::SuccessorState, HotRestart::SuccessorEvent>
    HotRestart::kTransitions[] = {
        {SuccessorState::None, SuccessorEvent::Connected, SuccessorState::ReceivingLearnedState,
         &HotRestart::begin_takeover},
        {SuccessorState::ReceivingLearnedState, SuccessorEvent::LearnedStateSent, SuccessorState::UpToDate,
         &HotRestart::discard_learned_state},
        {SuccessorState::ReceivingLearnedState, SuccessorEvent::Disconnected, SuccessorState::None,
         &HotRestart::discard_successor},
        {SuccessorState::UpToDate, SuccessorEvent::Disconnected, SuccessorState::None,
         &HotRestart::discard_successor},
};

HotRestart::HotRestart(Loop& loop, Owner& owner, std::string control_socket_path, Ref<GSocket> predecessor)
    : loop_(loop),
      owner_(owner),
      listener_(loop, static_cast<ControlListener::Owner&>(*this), std::move(control_socket_path)) {
  loop_.descriptors().reserve(kReservedDescriptors);
  if (!predecessor) return;
  predecessor_ =
      std::make_unique<Channel>(loop_, static_cast<Channel::Owner&>(*this), std::move(predecessor));
}

void HotRestart::apply_successor_event(SuccessorEvent event) {
  apply_transition(kTransitions, *this, successor_state_, event);
}

void HotRestart::on_serving() {
  if (predecessor_) predecessor_->send(encode_message(ServingMessage{}));
  listener_.open();
}

// While there is a successor, another one is refused by closing its socket, which is destroyed here.
void HotRestart::on_control_connection(Ref<GSocket> socket) {
  if (successor_) return;
  successor_ = std::make_unique<Channel>(loop_, static_cast<Channel::Owner&>(*this), std::move(socket));
  apply_successor_event(SuccessorEvent::Connected);
}

void HotRestart::begin_takeover() {
  loop_.log().event(Level::Info, "hot_restart.takeover_started");
  send_snapshot();
  for (const std::uint64_t id_hash : owner_.sent_requests()) note_sent_request(id_hash);
  // Learned state is sent after the snapshot, so that the successor can start without waiting for it.
  learned_state_.emplace(owner_.learned_state());
  send_learned_state_packet();
  owner_.on_peer_presence(PeerPresence::Present);
}

void HotRestart::send_snapshot() {
  // The listener is sent first: sockets aren't queued, and a long list may fill the channel. If it can't be
  // sent, the successor opens a listener of its own.
  if (GSocket* listener = owner_.listener_socket()) {
    static_cast<void>(successor_->try_send(encode_message(ListenerMessage{}), listener));
  }
  for (std::string& packet : encode_endpoint_list(owner_.endpoint_list())) {
    successor_->send(std::move(packet));
  }
  successor_->send(encode_message(OperatorOverridesMessage{owner_.operator_overrides()}));
  successor_->send(encode_message(SnapshotCompleteMessage{}));
}

// Sends one packet per iteration of the event loop: encoding a thousand endpoints at once would delay
// requests.
void HotRestart::send_learned_state_packet() {
  if (successor_state_ != SuccessorState::ReceivingLearnedState) return;
  successor_->send(learned_state_->next_packet());
  if (learned_state_->is_complete()) {
    apply_successor_event(SuccessorEvent::LearnedStateSent);
    return;
  }
  loop_.post(alive_.guard([this] { send_learned_state_packet(); }));
}

void HotRestart::discard_learned_state() { learned_state_.reset(); }

void HotRestart::discard_successor() {
  learned_state_.reset();
  loop_.delete_later(std::move(successor_));
  ids_for_successor_.clear();
  successor_sends_orders_ = false;
  update_peer_presence();
  listener_.open();
}

void HotRestart::send_operator_order(const OperatorOrder& order) {
  if (predecessor_) send_order_to(*predecessor_, order);
  if (successor_) send_order_to(*successor_, order);
}

void HotRestart::send_order_to(Channel& channel, const OperatorOrder& order) {
  channel.send(encode_message(OperatorOrderMessage{order}));
  channel.send(encode_message(OperatorOverridesMessage{owner_.operator_overrides()}));
}

// A client may leave this process and send its request again to the other one.
void HotRestart::note_sent_request(std::uint64_t id_hash) {
  if (predecessor_) ids_for_predecessor_.add(id_hash);
  if (successor_) ids_for_successor_.add(id_hash);
  const bool has_peer = predecessor_ || successor_;
  if (!has_peer || std::exchange(is_sending_ids_scheduled_, true)) return;
  loop_.post(alive_.guard([this] { send_sent_requests(); }));
}

void HotRestart::send_sent_requests() {
  if (predecessor_) ids_for_predecessor_.send_to(*predecessor_);
  if (successor_) ids_for_successor_.send_to(*successor_);
  is_sending_ids_scheduled_ = !ids_for_predecessor_.empty() || !ids_for_successor_.empty();
  if (!is_sending_ids_scheduled_) return;
  loop_.at(loop_.now() + kResendInterval, alive_.guard([this] { send_sent_requests(); }));
}

Channel* HotRestart::other_peer(const Channel& sender) const {
  return &sender == predecessor_.get() ? successor_.get() : predecessor_.get();
}

void HotRestart::forward_operator_overrides(const Channel& sender) {
  if (Channel* other = other_peer(sender)) {
    other->send(encode_message(OperatorOverridesMessage{owner_.operator_overrides()}));
  }
}

bool HotRestart::try_send_connection(GSocket* connection, ConnectionHistory history) {
  return successor_ && successor_->try_send(encode_message(ConnectionMessage{history}), connection);
}

void HotRestart::on_packet(Channel& channel, Packet packet) {
  Result<ControlMessage, DecodeError> decoded = decode_message(packet.text);
  if (!decoded) {
    loop_.log()
        .event(Level::Warning, "hot_restart.message_rejected")
        .with("peer", peer_name(channel))
        .with("reason", to_string(decoded.error().fault))
        .with("field", decoded.error().field);
    return;
  }
  auto handle = [&](auto& message) { on_message(channel, message, packet); };
  std::visit(handle, decoded.value());
}

void HotRestart::on_message(Channel&, ConnectionMessage& message, Packet& packet) {
  if (packet.socket) owner_.on_connection(std::move(packet.socket), message.history);
}

void HotRestart::on_message(Channel& sender, LearnedStateMessage& message, Packet&) {
  if (&sender == predecessor_.get()) owner_.on_learned_state(message.state);
}

void HotRestart::on_message(Channel& sender, OperatorOrderMessage& message, Packet&) {
  sends_orders(sender) = true;
  owner_.on_operator_order(message.order);
  if (Channel* other = other_peer(sender)) send_order_to(*other, message.order);
}

void HotRestart::on_message(Channel& sender, OperatorOverridesMessage& message, Packet&) {
  if (sends_orders(sender)) return;
  owner_.on_operator_overrides(message.overrides);
  forward_operator_overrides(sender);
}

void HotRestart::on_channel_closed(Channel& channel) {
  loop_.log().event(Level::Info, "hot_restart.peer_disconnected").with("peer", peer_name(channel));
  if (&channel == successor_.get()) {
    apply_successor_event(SuccessorEvent::Disconnected);
    return;
  }
  loop_.delete_later(std::move(predecessor_));
  ids_for_predecessor_.clear();
  update_peer_presence();
}

void HotRestart::update_peer_presence() {
  const bool is_alone = !predecessor_ && !successor_;
  owner_.on_peer_presence(is_alone ? PeerPresence::Alone : PeerPresence::Present);
}

bool& HotRestart::sends_orders(const Channel& channel) {
  return &channel == successor_.get() ? successor_sends_orders_ : predecessor_sends_orders_;
}

const char* HotRestart::peer_name(const Channel& channel) const {
  return &channel == successor_.get() ? "successor" : "predecessor";
}

}  // namespace puffinvane
