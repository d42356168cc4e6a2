#include "tools/load_test/world/sidecar_client.h"

#include <optional>
#include <vector>

namespace load_test {

namespace {
// Seconds that a client listens after its timeout, to detect a response that comes too late.
constexpr double kLateResponseWait = 0.2;
// If a reused connection is closed this soon after a request was sent, the sidecar probably closed it before
// it read the request.
constexpr double kCrossedCloseWindow = 0.01;
}  // namespace

class SidecarClient::Session final : Connection::Owner {
 public:
  Session(SidecarClient& client)
      : client_(client), connection_(client.context_.loop, *this), reader_(HttpReader::Kind::Responses) {}
  ~Session() override { loop().cancel(timer_); }

  bool available() const { return !outgoing_ && !awaiting_late_response_ && connection_.has_no_input(); }
  bool is_handling(const std::string& request) const { return outgoing_ && outgoing_->request == request; }
  bool connect() { return connection_.connect(client_.address_); }

  void start(const OutgoingRequest& outgoing, Callback callback) {
    reused_ = sent_at_ > 0;
    outgoing_ = outgoing;
    callback_ = std::move(callback);
    sent_at_ = 0;
    received_bytes_ = false;
    HttpMessage message;
    message.method = outgoing.safe ? "GET" : "POST";
    message.target = outgoing.target;
    message.headers = {{"X-Correlation-Id", outgoing.request}};
    if (!outgoing.tenant.empty()) message.headers.emplace_back("X-Account", outgoing.tenant);
    if (!outgoing.key.empty()) message.headers.emplace_back("Idempotency-Key", outgoing.key);
    if (outgoing.is_retry) message.headers.emplace_back("X-Repeat", "1");
    if (outgoing.sends_remaining_time)
      message.headers.emplace_back("X-Time-Left", std::to_string(long(outgoing.client_timeout * 1e6)) + "u");
    if (!outgoing.safe) message.body = "asked by " + outgoing.request + "\n";
    // The client timeout also covers the time to connect.
    timer_ = loop().call_at(loop().now() + outgoing.client_timeout, [this] { on_timeout(); });
    connection_.send(serialize(message));
  }
  void cancel() {
    if (sent_at_ > 0) report(Event::Kind::RequestCancelled);
    outgoing_.reset();
    close();
  }
  void reset() { connection_.reset(); }

 private:
  EventLoop& loop() { return client_.context_.loop; }
  void report(Event::Kind kind, int status = 0, bool genuine = false) {
    Event event{kind};
    event.request = request_id_;
    event.sidecar = client_.sidecar_;
    event.status = status;
    event.genuine = genuine;
    client_.context_.report(event);
  }
  void on_all_written(Connection&) override {
    if (!outgoing_) return;
    request_id_ = outgoing_->request;
    Event event{Event::Kind::RequestSent};
    event.request = request_id_;
    event.sidecar = client_.sidecar_;
    event.request_class = outgoing_->request_class;
    event.key = outgoing_->key;
    event.value = outgoing_->client_timeout;
    client_.context_.report_action(event);
    sent_at_ = loop().now();
    loop().cancel(timer_);
    timer_ = loop().call_at(sent_at_ + outgoing_->client_timeout, [this] { on_timeout(); });
  }
  void on_bytes(Connection&, std::string_view bytes) override {
    received_bytes_ = true;
    while (!bytes.empty()) {
      bytes.remove_prefix(reader_.feed(bytes));
      if (reader_.invalid()) return handle_connection_loss(Result::ConnectionLost);
      if (!reader_.complete()) return;
      handle_response(reader_.take());
    }
  }
  void handle_response(const HttpMessage& response) {
    // Without a pending request this is a second or a late response to the previous one, for the invariant
    // checker to judge.
    report(Event::Kind::ResponseReceived, response.status,
           response.body.starts_with("made for " + request_id_ + "\n"));
    if (!outgoing_) {
      // The connection can be reused from now on, so the timer must not close it.
      if (std::exchange(awaiting_late_response_, false)) loop().cancel(timer_);
      if (response.close) close();
      return;
    }
    loop().cancel(timer_);
    outgoing_.reset();
    Callback callback = std::move(callback_);
    if (response.close) close();
    callback(Result::Responded, response);
  }
  void on_end(Connection&, bool) override {
    reader_.connection_closed();
    if (reader_.complete()) {
      HttpMessage response = reader_.take();
      response.close = true;
      return handle_response(response);
    }
    handle_connection_loss(Result::ConnectionLost);
  }
  void handle_connection_loss(Result result) {
    std::optional<OutgoingRequest> outgoing = std::exchange(outgoing_, {});
    Callback callback = std::move(callback_);
    bool crossed =
        reused_ && !received_bytes_ && sent_at_ > 0 && loop().now() - sent_at_ < kCrossedCloseWindow;
    if (outgoing && sent_at_ > 0) {
      report(crossed ? Event::Kind::RequestCrossedClose : Event::Kind::ConnectionLost);
    } else if (awaiting_late_response_) {
      report(Event::Kind::ConnectionLost);
    }
    bool not_sent = sent_at_ == 0;
    SidecarClient& client = client_;
    close();
    if (!outgoing) return;
    if (crossed) return client.send(*outgoing, std::move(callback));
    callback(not_sent ? Result::Unreachable : result, HttpMessage());
  }
  void on_timeout() {
    if (!outgoing_) return close();
    Callback callback = std::move(callback_);
    bool not_sent = sent_at_ == 0;
    outgoing_.reset();
    if (not_sent) {
      close();
    } else {
      awaiting_late_response_ = true;
      timer_ = loop().call_at(loop().now() + kLateResponseWait, [this] { close(); });
    }
    callback(not_sent ? Result::Unreachable : Result::TimedOut, HttpMessage());
  }
  void close() {
    loop().cancel(timer_);
    connection_.close();
    client_.remove(*this);
  }

  SidecarClient& client_;
  Connection connection_;
  HttpReader reader_;
  std::optional<OutgoingRequest> outgoing_;
  std::string request_id_;  // the last request sent, which late events belong to
  Callback callback_;
  EventLoop::Timer timer_{};
  double sent_at_ = 0;
  bool reused_ = false, received_bytes_ = false, awaiting_late_response_ = false;
};

SidecarClient::SidecarClient(RunContext& context, Address address, int sidecar)
    : context_(context), address_(std::move(address)), sidecar_(sidecar) {}
SidecarClient::~SidecarClient() = default;

void SidecarClient::remove(Session& session) {
  auto found = sessions_.extract(&session);
  if (!found.empty()) context_.loop.delete_later(std::move(found.mapped()));
}

void SidecarClient::send(const OutgoingRequest& outgoing, Callback callback) {
  for (auto& [key, session] : sessions_) {
    if (session->available()) return session->start(outgoing, std::move(callback));
  }
  auto opened = std::make_unique<Session>(*this);
  if (!opened->connect()) {
    context_.loop.call_at(context_.loop.now(),
                          [callback = std::move(callback)] { callback(Result::Unreachable, HttpMessage()); });
    return;
  }
  Session& session = *opened;
  sessions_.emplace(&session, std::move(opened));
  session.start(outgoing, std::move(callback));
}

void SidecarClient::cancel(const std::string& request) {
  for (auto& [key, session] : sessions_) {
    if (session->is_handling(request)) return session->cancel();
  }
}

void SidecarClient::reset_connections() {
  for (auto& [key, session] : sessions_) session->reset();
  sessions_.clear();
}

}  // namespace load_test
