// Long answers that an endpoint writes slowly, in pieces: does the sidecar pass on what the endpoint still gives?
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr std::size_t kLength = 256 * 1000;     // bytes of an answer's body: "over 64 KiB"
constexpr std::size_t kFirstPiece = 16 * 1000;  // written with the head
constexpr std::size_t kPiece = 32 * 1000;       // then so much
constexpr double kPause = 0.5;                  // every so many seconds: 64 kB a second
constexpr double kWork = 0.15;                  // seconds that an endpoint works before it answers
constexpr double kDeadline = 1.0;                // seconds: X-Time-Left
constexpr int kEndpoints = 3;
constexpr int kRequests = 4;

struct Fetch {
  std::string id;
  int status = 0;
  std::size_t declared = 0;
  std::size_t received = 0;
  double first_byte_s = -1, ended_s = -1;  // since the request's last byte
  bool is_foreign = false;
  std::string end = "no end";
};

std::mutex written_mutex;
std::map<std::string, std::size_t> written;      // bytes of the body that the endpoint has written, by id
std::map<std::string, std::string> endpoint_saw;  // how the endpoint's connection ended, if it did

std::string body_of(const std::string& id) {
  std::string body;
  body.reserve(kLength + id.size() + 16);
  for (int i = 0; body.size() < kLength; ++i) body += id + ":" + std::to_string(i) + ";";
  body.resize(kLength);
  return body;
}

void answer(Connection& connection, const std::string& endpoint, bool slowly, Record& record) {
  for (;;) {
    std::string head = connection.read_head(now() + 3600);
    if (head.empty()) return;
    std::string id = header_of(head, "X-Correlation-Id");
    record.line("%s begins %s, is told X-Time-Left %s", endpoint.c_str(), id.c_str(),
                header_of(head, "X-Time-Left").c_str());
    sleep_for(kWork);
    std::string body = body_of(id);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::size_t at = slowly ? kFirstPiece : body.size();
    if (!connection.send_all(text + body.substr(0, at), now() + 5)) return;
    for (;;) {
      {
        std::lock_guard lock(written_mutex);
        written[id] = at;
      }
      record.line("%s has written %zu of %zu bytes of the answer to %s", endpoint.c_str(), at, body.size(), id.c_str());
      if (at == body.size()) break;
      Connection::Read read = connection.read_some(now() + kPause);
      if (read == Connection::Read::Ended || read == Connection::Read::Broken) {
        record.line("%s: the sidecar has ended the connection within the answer to %s", endpoint.c_str(), id.c_str());
        std::lock_guard lock(written_mutex);
        endpoint_saw[id] = "ended by the sidecar";
        return;
      }
      std::size_t next = std::min(kPiece, body.size() - at);
      if (!connection.send_all(body.substr(at, next), now() + 5)) return;
      at += next;
    }
  }
}

void fetch(Fetch& one, int port, Record& record) {
  Connection client;
  if (!client.connect_to(port)) return;
  client.send_all("GET /status/report HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + one.id +
                      "\r\nX-Account: kotwijzer\r\nX-Time-Left: 1000m\r\n\r\n",
                  now() + 1);
  double sent_at = now();
  record.line("client sends %s", one.id.c_str());
  std::string head = client.read_head(sent_at + 5);
  one.status = status_of(head);
  one.declared = std::size_t(std::atoll(header_of(head, "Content-Length").c_str()));
  one.first_byte_s = now() - sent_at;
  std::string expected = body_of(one.id);
  for (double until = now() + 12; now() < until;) {
    if (one.status == 200 && client.input().size() >= expected.size()) {
      one.end = "whole";
      break;
    }
    Connection::Read read = client.read_some(until);
    if (read == Connection::Read::Broken) one.end = "reset";
    if (read == Connection::Read::Ended) one.end = "closed";
    if (read == Connection::Read::Broken || read == Connection::Read::Ended) break;
    if (one.status != 200 && read == Connection::Read::Some) break;
  }
  one.received = client.input().size();
  one.is_foreign = one.status == 200 && client.input() != expected.substr(0, one.received);
  one.ended_s = now() - sent_at;
  record.line("client: %s: status %d after %.3f s, %zu of %zu bytes, %s after %.3f s", one.id.c_str(), one.status,
              one.first_byte_s, one.received, one.declared, one.end.c_str(), one.ended_s);
}

}  // namespace

int main(int count, char** values) {
  Arguments arguments = read_arguments(count, values);
  Record record(arguments.record);
  if (!record.is_open()) give_up("can't write " + arguments.record);
  std::vector<ListedEndpoint> endpoints;
  for (int i = 0; i < kEndpoints; ++i) {
    std::string name = "s-" + std::to_string(i);
    endpoints.push_back({name, serve([name, &arguments, &record](Connection& connection) {
                           answer(connection, name, arguments.trouble, record);
                         })});
  }
  Agent agent(endpoints);
  Site site;
  site.classes =
      R"([{"Name":"status","Idempotency":"repeatable","TargetLatencyS":0.75,"ClientTimeoutS":2.0,"Credit":2.0}])";
  Sidecar sidecar(arguments, site, agent, free_port());
  if (!sidecar.wait_until_ready()) give_up("the sidecar is not ready");
  record.line("sidecar is ready; trouble: %s", arguments.trouble ? "yes" : "no");

  std::vector<Fetch> fetches(kRequests);
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    fetches[std::size_t(i)].id = "g-" + std::to_string(i);
    clients.emplace_back(fetch, std::ref(fetches[std::size_t(i)]), sidecar.port, std::ref(record));
    sleep_for(0.3);
  }
  for (std::thread& client : clients) client.join();

  int lost = 0, served = 0;
  std::lock_guard lock(written_mutex);
  for (const Fetch& one : fetches) {
    bool begun = one.status == 200;
    bool in_time = begun && one.first_byte_s <= kDeadline;
    bool whole = in_time && one.end == "whole" && !one.is_foreign;
    bool cut = in_time && !whole && endpoint_saw.count(one.id) > 0;  // the endpoint was still giving
    served += whole;
    lost += cut || one.is_foreign;
    record.line("%s: %s", one.id.c_str(),
                whole ? "served whole" : cut ? "LOST: cut off while its endpoint still gave it" : "not served");
  }
  record.line("served %d, lost %d, sidecar %s", served, lost, sidecar.is_running() ? "runs" : "has ended");
  sidecar.end();
  if (lost == 0 && served == 0) finish(kCouldNotRun);
  finish(lost > 0 ? kBroken : kHeld);
}
