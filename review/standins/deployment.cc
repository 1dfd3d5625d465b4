#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>
#include <utility>

namespace bilberry::review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPoll{20};
constexpr std::chrono::seconds kIdle{60};
constexpr std::chrono::seconds kLongestStart{15};

std::string At(int port) {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

}  // namespace

void Record::Add(const std::string& line) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(Clock::now() - began_);
  const std::lock_guard lock(mutex_);
  file_ << at.count() << " " << line << std::endl;
}

int End(Run& run, int result) {
  run.record.Add("result " + std::to_string(result));
  std::_Exit(result);
}

Host::Host(Run& run, const Store& store, const std::string& name)
    : run_(run),
      name_(name),
      settings_(run.folder + "/" + name + ".json"),
      port_(FreePort()),
      readiness_port_(FreePort()),
      peer_port_(FreePort()) {
  std::ofstream(settings_)
      << R"({"host":")" << name << R"(","zone":"limerick","callers":")"
      << At(port_) << R"(","readiness":")" << At(readiness_port_)
      << R"(","peers":")" << At(peer_port_) << R"(","store":")"
      << store.address()
      << R"(","cores":0.25,"link_mbps":1000.0,"retry_slack":54,)"
      << R"("cold_bound":",","stop_grace_s":8})";
}

void Host::Start() {
  const std::string variable = "BILBERRYLEVER_CONFIG=" + settings_;
  std::string path = "PATH=/usr/bin:/bin";
  std::string setting = variable;
  char* environment[] = {path.data(), setting.data(), nullptr};
  std::string program = run_.program;
  char* arguments[] = {program.data(), nullptr};
  const std::string log = run_.folder + "/" + name_ + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  pid_ = pid;
  // For the script, which ends what a timeout leaves.
  std::ofstream(run_.folder + "/" + name_ + ".pid") << pid;
  run_.record.Add("host " + name_ + " started");
}

void Host::Kill() {
  const pid_t pid = pid_.exchange(0);
  if (pid <= 0)
    return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

bool Host::HasEnded() {
  const pid_t pid = pid_;
  if (pid <= 0)
    return true;
  if (waitpid(pid, nullptr, WNOHANG) != pid)
    return false;
  pid_ = 0;
  return true;
}

bool Host::IsReady() const {
  auto channel = Channel::Connect(readiness_port_, milliseconds(1000));
  if (!channel ||
      !channel->Write("GET /v1/ready HTTP/1.1\r\nHost: host\r\n\r\n"))
    return false;
  const auto answer = channel->Read(milliseconds(1000));
  return answer && answer->status() == 200;
}

bool Host::WaitUntilReady() const {
  const Clock::time_point end = Clock::now() + kLongestStart;
  while (Clock::now() < end) {
    if (IsReady())
      return true;
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

size_t Host::MemoryBytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

Worker::Worker(std::string id, Handler handler)
    : id_(std::move(id)),
      handler_(std::move(handler)),
      acceptor_([this](Channel channel) { Serve(std::move(channel)); }) {}

std::string Worker::Entry(const std::string& service) const {
  return R"({"service":")" + service + R"(","address":")" + address() +
         R"(","zone":"limerick","version":"v1","slots":6,"state":"ready",)" +
         R"("coldRemainingMs":0,"seq":1,"born":1800000000000})";
}

void Worker::Serve(Channel channel) const {
  while (const auto request = channel.Read(kIdle)) {
    const std::string expected = request->Find("Expect-Instance");
    bool is_kept = true;
    if (!expected.empty() && expected != id_)
      is_kept = channel.Write(
          Answer("421 Misdirected Request", {{"Instance-Id", id_}}, ""));
    else if (request->target() == "/health")
      is_kept = channel.Write(Answer("200 OK", {{"Instance-Id", id_}}, ""));
    else
      is_kept = handler_(channel, *request);
    if (!is_kept)
      return;
  }
}

std::string RouteOf(const std::string& name,
                    const std::string& kind,
                    const std::string& service,
                    const std::string& more) {
  return R"({"name":")" + name + R"(","host":"shop.example","pathPrefix":"/)" +
         name + R"(/","kind":")" + kind + R"(","service":")" + service +
         R"(","priority":1,"allowAnonymous":false)" + more + "}";
}

std::string DesiredState(const std::string& routes,
                         const std::string& services) {
  return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" +
         services +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)" +
         R"("tenants":[{"name":"depot","apiKeys":["key-1"],"priority":1}]})";
}

std::string HeadOf(const std::string& method,
                   const std::string& route,
                   const std::string& id,
                   milliseconds deadline) {
  return method + " /" + route +
         "/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline.count()) +
         "\r\nAuthorization: Token key-1\r\n";
}

}  // namespace bilberry::review
