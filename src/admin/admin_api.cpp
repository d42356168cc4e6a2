#include "src/admin/admin_api.h"

#include <algorithm>

namespace puffinvane {

namespace {
constexpr std::size_t kMostBody = 4096;  // an id and white space round it
constexpr int kFewest = 8, kMost = 16;   // clients at a time, by how many descriptors there are

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  std::size_t from = std::min(text.find_first_not_of(kBlank), text.size());
  return text.substr(from, text.find_last_not_of(kBlank) + 1 - from);
}
}  // namespace

struct AdminApi::Call {
  std::string_view path, method;
  void (AdminApi::*act)(DownstreamConnection&, std::string_view);
};

const AdminApi::Call AdminApi::kCalls[] = {
    {"/api/ready", "GET", &AdminApi::ready},     {"/api/telemetry", "GET", &AdminApi::telemetry},
    {"/api/exclude", "PUT", &AdminApi::exclude}, {"/api/include", "PUT", &AdminApi::include},
    {"/api/fleet", "GET", &AdminApi::fleet},     {"/api/evacuate", "PUT", &AdminApi::evacuate},
    {"/api/rejoin", "PUT", &AdminApi::rejoin},
};

AdminApi::AdminApi(Loop& loop, ConnectionLimiter& limiter, Operations& operations, Owner& owner)
    : loop_(loop),
      operations_(operations),
      owner_(owner),
      downstream_(loop, limiter, *this, kMostBody,
                  std::size_t(std::clamp(loop.descriptors().limit() / 32, kFewest, kMost))),
      listener_(loop, downstream_, 0, Listener::Turn::First) {
  loop.descriptors().reserve(int(downstream_.max_connections()) + 1);
  downstream_.close_after_responses(true);
}

void AdminApi::on_request(DownstreamConnection& downstream, HttpMessage request) {
  std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
  auto asked = std::find_if(std::begin(kCalls), std::end(kCalls),
                            [path](const Call& call) { return call.path == path; });
  if (asked == std::end(kCalls)) return say(downstream, 404, "no such call");
  if (asked->method != request.method)
    return say(downstream, 405, "the method is wrong", "Allow: " + std::string(asked->method) + "\r\n");
  (this->*asked->act)(downstream, trimmed(request.body.text()));
}

void AdminApi::ready(DownstreamConnection& downstream, std::string_view) {
  owner_.ready() ? say(downstream, 200, "ready")
                 : say(downstream, 503, "not ready: this process takes no clients");
}
void AdminApi::telemetry(DownstreamConnection& downstream, std::string_view) {
  downstream.respond(200, nullptr, "Content-Type: text/plain; version=0.0.4\r\n", owner_.telemetry(), true);
}
void AdminApi::fleet(DownstreamConnection& downstream, std::string_view) {
  std::string shown = owner_.fleet();
  if (shown.empty()) return say(downstream, 404, "this process is part of no fleet");
  downstream.respond(200, nullptr, "Content-Type: application/json\r\n", shown, true);
}
void AdminApi::exclude(DownstreamConnection& downstream, std::string_view body) {
  obeyed(downstream, operations_.exclude(loop_.now(), body));
}
void AdminApi::include(DownstreamConnection& downstream, std::string_view body) {
  obeyed(downstream, operations_.include(body));
}
void AdminApi::evacuate(DownstreamConnection& downstream, std::string_view) {
  operations_.evacuate(loop_.now());
  obeyed(downstream, true);
}
void AdminApi::rejoin(DownstreamConnection& downstream, std::string_view) {
  operations_.rejoin();
  obeyed(downstream, true);
}

void AdminApi::obeyed(DownstreamConnection& downstream, bool yes) {
  if (yes) owner_.on_override();
  yes ? say(downstream, 200, "done") : say(downstream, 404, "no endpoint of that id was ever listed");
}

void AdminApi::say(DownstreamConnection& downstream, int status, std::string_view text,
                   std::string_view more_headers) {
  downstream.respond(status, nullptr, more_headers, std::string(text) + "\n", true);
}

}  // namespace puffinvane
