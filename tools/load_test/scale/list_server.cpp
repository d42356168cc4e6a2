#include "tools/load_test/scale/list_server.h"

#include <chrono>
#include <cstdlib>

namespace load_test {

namespace {

constexpr double kEmptyLine = 2;     // seconds between them while nothing changes
constexpr std::size_t kStride = 37;  // from one endpoint that is replaced to the next

std::string chunk(const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Names as discovery gives them: alike in length, and alike at each run.
std::string name_of(std::size_t endpoint, int life) {
  char name[24];
  std::snprintf(name, sizeof name, "s-%08x", unsigned(endpoint * 2654435761u + unsigned(life) * 40503u));
  return name;
}

std::int64_t unix_ms() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

class ListServer::Link final : public Line::Owner {
 public:
  Link(ListServer& server, int descriptor)
      : server_(server), line_(server.loop_, *this), reader_(Reader::Of::Requests) {
    line_.adopt(descriptor);
  }
  ~Link() override { server_.loop_.cancel(timer_); }
  void say(const std::string& text) {
    if (watching_) send(chunk(text + "\n"));
  }

 private:
  void send(const std::string& bytes) {
    server_.bytes_ += bytes.size();
    line_.send(bytes);
  }
  void on_bytes(Line&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (!reader_.whole()) return;
    std::string target = reader_.take().target;
    std::size_t after = target.find("after=");
    watching_ = true;
    send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    say(server_.answer(after == std::string::npos ? 0 : std::atoll(target.c_str() + after + 6)));
    beat();
  }
  void on_end(Line&, bool) override {
    line_.close();
    server_.let_go(*this);
  }
  void beat() {
    timer_ = server_.loop_.at(server_.loop_.now() + kEmptyLine, [this] {
      say("");
      beat();
    });
  }

  ListServer& server_;
  Line line_;
  Reader reader_;
  Loop::Timer timer_{};
  bool watching_ = false;
};

ListServer::ListServer(Loop& loop, const Address& at, std::vector<Address> endpoints)
    : loop_(loop),
      endpoints_(std::move(endpoints)),
      lives_(endpoints_.size()),
      since_ms_(endpoints_.size()),
      listener_(loop, *this, at, 0) {}

ListServer::~ListServer() = default;

void ListServer::on_accepted(Listener&, int descriptor) {
  auto link = std::make_unique<Link>(*this, descriptor);
  const Link* key = link.get();
  links_.emplace(key, std::move(link));
}

void ListServer::let_go(const Link& link) {
  auto found = links_.extract(&link);
  if (!found.empty()) loop_.bury(std::move(found.mapped()));
}

std::string ListServer::entry(std::size_t endpoint, const char* status) const {
  return R"({"name":")" + name_of(endpoint, lives_[endpoint]) + R"(","address":")" +
         endpoints_[endpoint].text() + R"(","zone":"here","type":"m2","group":)" +
         std::to_string(endpoint % 4) + R"(,"status":")" + status + R"(","weight":1.0,"since_ms":)" +
         std::to_string(since_ms_[endpoint]) + "}";
}

std::string ListServer::list(bool whole, const std::string& entries) const {
  return R"({"index":)" + std::to_string(index_) + R"(,"snapshot":)" + (whole ? "true" : "false") +
         R"(,"endpoints":[)" + entries + "]}";
}

std::string ListServer::whole() const {
  std::string entries;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) entries += (i > 0 ? "," : "") + entry(i, "active");
  return list(true, entries);
}

std::string ListServer::answer(std::int64_t after) {
  if (after <= 0 || after > index_) {
    ++whole_lists_;
    return whole();
  }
  std::string entries;
  for (const Change& change : changes_) {
    if (change.index > after) entries += (entries.empty() ? "" : ",") + change.entries;
  }
  return list(false, entries);
}

void ListServer::replace_one() {
  std::size_t endpoint = next_;
  next_ = (next_ + kStride) % endpoints_.size();
  std::string entries = entry(endpoint, "left");
  ++lives_[endpoint];
  since_ms_[endpoint] = unix_ms();
  entries += "," + entry(endpoint, "active");
  ++index_;
  changes_.push_back({index_, entries});
  for (auto& [key, link] : links_) link->say(list(false, entries));
}

}  // namespace load_test
