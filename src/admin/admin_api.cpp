#include "src/admin/admin_api.h"

#include <algorithm>

namespace puffinvane {

namespace {
constexpr std::size_t kMaxBody = 4096;  // bytes; bodies hold an endpoint id
// The number of clients at a time depends on the descriptor limit, within these bounds.
constexpr int kMinClients = 8;
constexpr int kMaxClients = 16;

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  std::size_t from = std::min(text.find_first_not_of(kWhitespace), text.size());
  return text.substr(from, text.find_last_not_of(kWhitespace) + 1 - from);
}
}  // namespace

struct AdminApi::Call {
  std::string_view path, method;
  void (AdminApi::*handle)(DownstreamConnection&, std::string_view);
};

const AdminApi::Call AdminApi::kCalls[] = {
    {"/api/ready", "GET", &AdminApi::ready},     {"/api/telemetry", "GET", &AdminApi::telemetry},
    {"/api/exclude", "PUT", &AdminApi::exclude}, {"/api/include", "PUT", &AdminApi::include},
    {"/api/fleet", "GET", &AdminApi::fleet},     {"/api/evacuate", "PUT", &AdminApi::evacuate},
    {"/api/rejoin", "PUT", &AdminApi::rejoin},
};

AdminApi::AdminApi(Loop& loop, ConnectionLimiter& limiter, OverrideController& overrides, Owner& owner)
    : loop_(loop),
      overrides_(overrides),
      owner_(owner),
      downstream_(loop, limiter, *this, kMaxBody,
                  std::size_t(std::clamp(loop.descriptors().limit() / 32, kMinClients, kMaxClients))),
      listener_(loop, downstream_, 0, Listener::Priority::High) {
  loop.descriptors().reserve(int(downstream_.max_connections()) + 1);
  downstream_.close_after_responses(true);
}

void AdminApi::on_request(DownstreamConnection& downstream, HttpMessage request) {
  std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
  auto call = std::find_if(std::begin(kCalls), std::end(kCalls),
                           [path](const Call& entry) { return entry.path == path; });
  if (call == std::end(kCalls)) return respond(downstream, 404, "no such call");
  if (call->method != request.method)
    return respond(downstream, 405, "the method is wrong", "Allow: " + std::string(call->method) + "\r\n");
  (this->*call->handle)(downstream, trimmed(request.body.text()));
}

void AdminApi::ready(DownstreamConnection& downstream, std::string_view) {
  owner_.is_ready() ? respond(downstream, 200, "ready")
                    : respond(downstream, 503, "not ready: this process takes no clients");
}
void AdminApi::telemetry(DownstreamConnection& downstream, std::string_view) {
  downstream.respond(200, nullptr, "Content-Type: text/plain; version=0.0.4\r\n", owner_.metrics(), true);
}
void AdminApi::fleet(DownstreamConnection& downstream, std::string_view) {
  std::string json = owner_.fleet_json();
  if (json.empty()) return respond(downstream, 404, "this process is part of no fleet");
  downstream.respond(200, nullptr, "Content-Type: application/json\r\n", json, true);
}
void AdminApi::exclude(DownstreamConnection& downstream, std::string_view body) {
  give_order(downstream, OperatorOrder::Action::Exclude, body);
}
void AdminApi::include(DownstreamConnection& downstream, std::string_view body) {
  give_order(downstream, OperatorOrder::Action::Include, body);
}
void AdminApi::evacuate(DownstreamConnection& downstream, std::string_view) {
  give_order(downstream, OperatorOrder::Action::Evacuate, "");
}
void AdminApi::rejoin(DownstreamConnection& downstream, std::string_view) {
  give_order(downstream, OperatorOrder::Action::Rejoin, "");
}

void AdminApi::give_order(DownstreamConnection& downstream, OperatorOrder::Action action,
                          std::string_view endpoint) {
  const OperatorOrder order{action, std::string(endpoint), loop_.now()};
  if (!overrides_.accept(order)) return respond(downstream, 404, "no endpoint of that id was ever listed");
  owner_.on_override(order);
  respond(downstream, 200, "done");
}

void AdminApi::respond(DownstreamConnection& downstream, int status, std::string_view text,
                       std::string_view extra_headers) {
  downstream.respond(status, nullptr, extra_headers, std::string(text) + "\n", true);
}

}  // namespace puffinvane
