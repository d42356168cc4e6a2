// Tests of a program whose log is a full pipe that nobody reads: it serves, shuts down and fails to start as
// it does with any other log.
#include "testing/log_pipe.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

#include "testing/answering_endpoint.h"
#include "testing/program_main.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {
namespace {

constexpr double kPromptAnswerS = 2;

SidecarProcess::Options logging_options() {
  SidecarProcess::Options options;
  options.admin = loopback_address(3) + ":5003";
  options.environment = {{"PUFFINVANE_LOG", "info"}};
  return options;
}

// A sidecar in front of one endpoint, with the pipe as its output.
class FullLogPipe : public testing::Test {
 protected:
  FullLogPipe() {
    InheritedOutput inherited(log_);
    sidecar_ =
        std::make_unique<SidecarProcess>(list_entry_json("a", endpoint_.listener.address), logging_options());
  }
  // Each reload logs a line.
  void reload(int times) {
    for (int i = 0; i < times; ++i) {
      sidecar_->reload();
      sleep_for(0.02);
    }
  }
  int ask_admin(const std::string& path) const {
    TestConnection connection(loopback_address(3) + ":5003");
    connection.send_text("GET " + path + " HTTP/1.1\r\n\r\n");
    return connection.response_status();
  }

  AnsweringEndpoint endpoint_{2};
  LogPipe log_;
  std::unique_ptr<SidecarProcess> sidecar_;
};

TEST_F(FullLogPipe, RequestsAndAdminCallsAreAnsweredInTime) {
  constexpr int kReloads = 4;
  constexpr int kRequests = 4;
  log_.fill();

  reload(kReloads);

  for (int i = 0; i < kRequests; ++i) {
    const double asked_at_s = now();
    EXPECT_EQ(sidecar_->status_of(get_request("", std::to_string(i))), 200);
    EXPECT_LT(now() - asked_at_s, kPromptAnswerS);
  }
  EXPECT_EQ(ask_admin("/api/ready"), 200);
}

TEST_F(FullLogPipe, LinesOfThatTimeAreWrittenOnceThePipeIsRead) {
  constexpr int kReloads = 4;
  log_.fill();
  reload(kReloads);
  std::string text = log_.read_all();  // lines may arrive during this read
  int lines = 0;
  const std::string line = "reloads its configuration";

  for (double until = now() + 5; lines < kReloads && now() < until;) {
    text += log_.read_until(line, 0.1);
    lines = 0;
    for (std::size_t at = text.find(line); at != std::string::npos; at = text.find(line, at + 1)) ++lines;
  }

  EXPECT_EQ(lines, kReloads) << text;
}

TEST_F(FullLogPipe, DroppedLinesAreCountedInTelemetry) {
  TestConnection connection(loopback_address(3) + ":5003");

  connection.send_text("GET /api/telemetry HTTP/1.1\r\n\r\n");

  std::optional<HttpMessage> answer = connection.receive_message(HttpReader::Side::Response);
  ASSERT_TRUE(answer);
  EXPECT_NE(answer->body.text().find("\nsidecar_log_lines_dropped_total 0\n"), std::string::npos)
      << answer->body.text();
}

TEST_F(FullLogPipe, ProcessThatIsToldToEndAnswersAndLeavesInTime) {
  TestConnection client(sidecar_->listen);
  client.send_text(get_request());
  ASSERT_EQ(client.response_status(), 200);
  log_.fill();

  sidecar_->terminate();
  client.send_text(get_request("", "after"));

  EXPECT_EQ(client.response_status(), 200);
  EXPECT_EQ(sidecar_->exit_code(1.7), 0);  // SIGKILL comes 0.7 s after the longest client timeout
}

TEST(FullLogPipeAtStart, StartThatFailsEndsWithItsExitCode) {
  LogPipe log;
  log.fill();
  SidecarProcess::Options options = logging_options();
  options.number = 1;  // the constructor does not wait for it to serve
  options.rules = "{";
  auto inherited = std::make_unique<InheritedOutput>(log);

  SidecarProcess sidecar(list_entry_json("a", loopback_address(2) + ":5002"), options);
  inherited.reset();

  EXPECT_EQ(sidecar.exit_code(3), 1);
}

// A child process that serves a site file, with the pipe as its output.
class SiteServer {
 public:
  SiteServer(const std::string& listen, const std::string& endpoint, const LogPipe& log)
      : file_("/tmp/puffinvane-log-pipe-" + std::to_string(getpid()) + ".site") {
    std::ofstream(file_) << "listener main { address " << listen << " }\n"
                         << "prefix status { kind read-like; target-latency 500ms; client-timeout 1s }\n"
                         << "pool one {\n  endpoint a " << endpoint << "\n}\n"
                         << "route all { path /; to one; as status }\n";
    InheritedOutput inherited(log);
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      execl(program.c_str(), program.c_str(), "serve", file_.c_str(), nullptr);
      _exit(127);
    }
  }
  SiteServer(const SiteServer&) = delete;
  SiteServer& operator=(const SiteServer&) = delete;
  ~SiteServer() {
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
    std::remove(file_.c_str());
  }
  void reload() const { kill(child_, SIGHUP); }

 private:
  std::string file_;
  pid_t child_ = 0;
};

TEST(FullLogPipeOfSite, RequestsAreAnsweredInTime) {
  const std::string listen = loopback_address(1) + ":5001";
  AnsweringEndpoint endpoint(2);
  LogPipe log;
  SiteServer server(listen, endpoint.listener.address, log);
  ASSERT_NE(log.read_until("site.serving", 5).find("site.serving"), std::string::npos);
  log.fill();
  for (int i = 0; i < 4; ++i) {
    server.reload();
    sleep_for(0.05);
  }

  for (int i = 0; i < 4; ++i) {
    TestConnection client(listen);
    const double asked_at_s = now();
    client.send_text("GET /hello HTTP/1.1\r\nHost: a.example.org\r\n\r\n");
    EXPECT_EQ(client.response_status(), 200);
    EXPECT_LT(now() - asked_at_s, kPromptAnswerS);
  }
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
