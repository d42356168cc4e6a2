#include "tools/load_test/scale/list_server.h"

#include <chrono>
#include <cstdlib>

namespace load_test {

namespace {

constexpr double kEmptyLineInterval =
    2;  // seconds between the empty lines that keep an unchanged watch alive
// Distance between the indexes of endpoints that are replaced one after another.
constexpr std::size_t kReplaceStride = 37;

std::string chunk(const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Names of equal length, as discovery gives them, and the same in every run.
std::string endpoint_name(std::size_t endpoint, int replacement) {
  char name[24];
  std::snprintf(name, sizeof name, "s-%08x",
                unsigned(endpoint * 2654435761u + unsigned(replacement) * 40503u));
  return name;
}

std::int64_t unix_ms() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

class ListServer::Session final : public Connection::Owner {
 public:
  Session(ListServer& server, int descriptor)
      : server_(server), connection_(server.loop_, *this), reader_(HttpReader::Kind::Requests) {
    connection_.attach(descriptor);
  }
  ~Session() override { server_.loop_.cancel(timer_); }
  void send_line(const std::string& text) {
    if (watching_) send(chunk(text + "\n"));
  }

 private:
  void send(const std::string& bytes) {
    server_.bytes_sent_ += bytes.size();
    connection_.send(bytes);
  }
  void on_bytes(Connection&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (!reader_.complete()) return;
    std::string target = reader_.take().target;
    std::size_t after = target.find("after=");
    watching_ = true;
    send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    send_line(server_.list_after(after == std::string::npos ? 0 : std::atoll(target.c_str() + after + 6)));
    schedule_empty_line();
  }
  void on_end(Connection&, bool) override {
    connection_.close();
    server_.remove(*this);
  }
  void schedule_empty_line() {
    timer_ = server_.loop_.call_at(server_.loop_.now() + kEmptyLineInterval, [this] {
      send_line("");
      schedule_empty_line();
    });
  }

  ListServer& server_;
  Connection connection_;
  HttpReader reader_;
  EventLoop::Timer timer_{};
  bool watching_ = false;
};

ListServer::ListServer(EventLoop& loop, const Address& at, std::vector<Address> endpoints)
    : loop_(loop),
      endpoints_(std::move(endpoints)),
      replacements_(endpoints_.size()),
      since_ms_(endpoints_.size()),
      listener_(loop, *this, at, 0) {}

ListServer::~ListServer() = default;

void ListServer::on_accepted(Listener&, int descriptor) {
  auto session = std::make_unique<Session>(*this, descriptor);
  const Session* key = session.get();
  sessions_.emplace(key, std::move(session));
}

void ListServer::remove(const Session& session) {
  auto found = sessions_.extract(&session);
  if (!found.empty()) loop_.delete_later(std::move(found.mapped()));
}

std::string ListServer::entry_json(std::size_t endpoint, const char* status) const {
  return R"({"name":")" + endpoint_name(endpoint, replacements_[endpoint]) + R"(","address":")" +
         endpoints_[endpoint].text() + R"(","zone":"here","type":"m2","group":)" +
         std::to_string(endpoint % 4) + R"(,"status":")" + status + R"(","weight":1.0,"since_ms":)" +
         std::to_string(since_ms_[endpoint]) + "}";
}

std::string ListServer::list_json(bool snapshot, const std::string& entries) const {
  return R"({"index":)" + std::to_string(index_) + R"(,"snapshot":)" + (snapshot ? "true" : "false") +
         R"(,"endpoints":[)" + entries + "]}";
}

std::string ListServer::full_list() const {
  std::string entries;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) entries += (i > 0 ? "," : "") + entry_json(i, "active");
  return list_json(true, entries);
}

std::string ListServer::list_after(std::int64_t after) {
  if (after <= 0 || after > index_) {
    ++full_list_count_;
    return full_list();
  }
  std::string entries;
  for (const Change& change : changes_) {
    if (change.index > after) entries += (entries.empty() ? "" : ",") + change.entries;
  }
  return list_json(false, entries);
}

void ListServer::replace_endpoint() {
  std::size_t endpoint = next_;
  next_ = (next_ + kReplaceStride) % endpoints_.size();
  std::string entries = entry_json(endpoint, "left");
  ++replacements_[endpoint];
  since_ms_[endpoint] = unix_ms();
  entries += "," + entry_json(endpoint, "active");
  ++index_;
  changes_.push_back({index_, entries});
  for (auto& [key, session] : sessions_) session->send_line(list_json(false, entries));
}

}  // namespace load_test
