#include "platform.h"

#include <json/reader.h>
#include <json/writer.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <thread>

namespace review {

namespace {

constexpr double kHeartbeatSeconds = 1.2;
constexpr double kTransactionSeconds = 0.005;
constexpr double kStageCallSeconds = 0.03;
constexpr uint16_t kCallersPort = 8625;
constexpr uint16_t kReadinessPort = 8621;
constexpr uint16_t kPeersPort = 7740;
constexpr const char* kProgram = "target/platform/bilberryentry";
constexpr const char* kTemplate = "platform/settings.template.json";
constexpr double kStartSeconds = 15;
constexpr int kExitCannotRun = 2;
// Bounds a run, whatever happens in it.
constexpr unsigned kLongestRunSeconds = 110;

std::string Base64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string coded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j)
      bits =
          bits << 8U |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    for (size_t j = 0; j < 4; ++j)
      coded += i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63U] : '=';
  }
  return coded;
}

std::map<std::string, std::string> ArgumentsOf(const std::string& target) {
  std::map<std::string, std::string> arguments;
  size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const size_t end = target.find('&', begin + 1);
    const std::string pair = target.substr(begin + 1, end - begin - 1);
    const size_t equals = std::min(pair.find('='), pair.size());
    std::string value;
    for (size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value += static_cast<char>(
            std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += pair[i];
      }
    }
    arguments[pair.substr(0, equals)] = value;
    begin = end;
  }
  return arguments;
}

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  return value;
}

std::string Answer200(const std::string& body) {
  return PrintResponse(200, {{"Content-Type", "application/json"}}, body);
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

Json::Value Route(const char* name, const char* kind, const char* service) {
  Json::Value route;
  route["name"] = name;
  route["host"] = "shop.example";
  route["pathPrefix"] = std::string("/") + name + "/";
  route["kind"] = kind;
  route["service"] = service;
  route["timeoutMs"] = 2000;
  route["targetLatencyMs"] = 300;
  route["priority"] = 1;
  route["maxAttempts"] = 1;
  return route;
}

Json::Value Stream(const char* name) {
  Json::Value route = Route(name, "streaming", "llm");
  route["timeoutMs"] = 15000;
  route["targetLatencyMs"] = 1000;
  route["gapAimMs"] = 500;
  route["sticky"] = true;
  return route;
}

std::vector<pid_t>& Processes() {
  static std::vector<pid_t> processes;
  return processes;
}

}  // namespace

void Record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::array<char, 24> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Now());
  file_ << time.data() << line << std::endl;
}

std::string PrintJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Store::Store(std::string ip, Record& record) : record_(record) {
  address_ = Listen({std::move(ip), 0}, [this](Connection& it) { Serve(it); });
}

void Store::SetLateness(Lateness lateness) {
  const std::lock_guard lock(mutex_);
  lateness_ = std::move(lateness);
}

void Store::Put(const std::string& table,
                const std::string& key,
                const Json::Value& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, "", key}] = {++version_, Base64(PrintJson(value)), false};
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  rows_[{table, "", key}] = {++version_, "", true};
  changed_.notify_all();
}

std::vector<std::string> Store::Keys(const std::string& table) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, row] : rows_) {
    if (std::get<0>(key) == table && !row.is_removed)
      keys.push_back(std::get<2>(key));
  }
  return keys;
}

void Store::Serve(Connection& connection) {
  Request request;
  while (connection.ReadRequest(request)) {
    if (request.target == "/v1/rows-tx") {
      const Json::Value transaction = ParseJson(request.body);
      Lateness lateness;
      {
        const std::lock_guard lock(mutex_);
        lateness = lateness_;
      }
      if (const double late = lateness ? lateness(transaction) : 0; late > 0) {
        record_.Add("store: no answer, and applies " + std::to_string(late) +
                    " s later: " + request.body);
        SleepSeconds(late);
        Apply(transaction);
        record_.Add("store: applied late: " + request.body);
        return;
      }
    }
    if (!connection.Send(Handle(request)))
      return;
  }
}

std::string Store::Handle(const Request& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const auto arguments = ArgumentsOf(request.target);
  if (path == "/v1/rows-get")
    return List(arguments);
  if (path == "/v1/rows-feed")
    return Follow(arguments);
  if (path == "/v1/rows-tx") {
    SleepSeconds(kTransactionSeconds);
    return Apply(ParseJson(request.body));
  }
  return PrintResponse(404, {}, "");
}

std::string Store::Print(const Json::Value& rows, bool is_truncated) const {
  Json::Value body;
  body["rows"] = rows;
  body["truncated"] = is_truncated;
  body["ver"] = static_cast<Json::UInt64>(version_);
  body["nowMs"] = static_cast<Json::UInt64>(Now() * 1000);
  return Answer200(PrintJson(body));
}

std::string Store::List(const std::map<std::string, std::string>& arguments) {
  const auto text = [&arguments](const char* name) {
    const auto it = arguments.find(name);
    return it == arguments.end() ? std::string() : it->second;
  };
  const size_t limit = text("limit").empty() ? 500 : std::stoul(text("limit"));
  const std::lock_guard lock(mutex_);
  Json::Value rows(Json::arrayValue);
  bool is_truncated = false;
  for (const auto& [key, row] : rows_) {
    const auto& [table, part, name] = key;
    if (row.is_removed || table != text("table") || part != text("part") ||
        name < text("startFrom"))
      continue;
    is_truncated = rows.size() >= limit;
    if (is_truncated)
      break;
    Json::Value& it = rows.append(Json::Value());
    it["table"] = table;
    it["part"] = part;
    it["key"] = name;
    it["ver"] = static_cast<Json::UInt64>(row.version);
    it["value"] = row.value;
  }
  return Print(rows, is_truncated);
}

std::string Store::Follow(const std::map<std::string, std::string>& arguments) {
  const std::string table = arguments.at("table");
  const uint64_t after = std::stoull(arguments.at("after"));
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(std::stol(arguments.at("waitMs")));
  std::unique_lock lock(mutex_);
  for (;;) {
    Json::Value rows(Json::arrayValue);
    for (const auto& [key, row] : rows_) {
      if (std::get<0>(key) != table || row.version <= after)
        continue;
      Json::Value& it = rows.append(Json::Value());
      it["table"] = table;
      it["part"] = std::get<1>(key);
      it["key"] = std::get<2>(key);
      it["ver"] = static_cast<Json::UInt64>(row.version);
      if (row.is_removed)
        it["removed"] = true;
      else
        it["value"] = row.value;
    }
    if (!rows.empty() || std::chrono::steady_clock::now() >= end)
      return Print(rows, false);
    changed_.wait_until(lock, end);
  }
}

std::string Store::Apply(const Json::Value& transaction) {
  const std::lock_guard lock(mutex_);
  ++version_;
  const auto key_of = [](const Json::Value& it) {
    return RowKey{it["table"].asString(), it["part"].asString(),
                  it["key"].asString()};
  };
  for (const Json::Value& it : transaction["writes"])
    rows_[key_of(it)] = {version_, it["value"].asString(), false};
  for (const Json::Value& it : transaction["remove"])
    rows_[key_of(it)] = {version_, "", true};
  changed_.notify_all();
  return Print(Json::Value(Json::arrayValue), false);
}

Link::Link(const std::string& ip, Address target) : target_(std::move(target)) {
  address_ = Listen({ip, 0}, [this](Connection& it) { Serve(it); });
}

void Link::SetCut(bool is_cut) {
  const std::lock_guard lock(mutex_);
  is_cut_ = is_cut;
  changed_.notify_all();
}

void Link::Serve(Connection& connection) {
  const Connection onward(Connect(target_));
  if (onward.descriptor() < 0)
    return;
  std::thread back([&] { Pass(onward, connection); });
  Pass(connection, onward);
  back.join();
}

void Link::Pass(const Connection& from, const Connection& to) {
  std::string bytes;
  while (from.ReadMore(bytes)) {
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return !is_cut_; });
    }
    if (!to.Send(bytes))
      break;
    bytes.clear();
  }
  shutdown(from.descriptor(), SHUT_RDWR);
  shutdown(to.descriptor(), SHUT_RDWR);
}

Worker::Worker(Store& store,
               Record& record,
               const std::string& ip,
               WorkerModel model)
    : store_(store),
      record_(record),
      model_(std::move(model)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  address_ = Listen({ip, 0}, [this](Connection& it) { Serve(it); });
  List();
  std::thread([this] {
    for (;;) {
      SleepSeconds(kHeartbeatSeconds);
      {
        const std::lock_guard lock(mutex_);
        if (has_ended_)
          return;
      }
      List();
    }
  }).detach();
}

void Worker::SetTrouble(Trouble trouble) {
  const std::lock_guard lock(mutex_);
  trouble_ = std::move(trouble);
}

void Worker::SetNotices(Headers notices) {
  const std::lock_guard lock(mutex_);
  notices_ = std::move(notices);
}

void Worker::SetState(const std::string& state) {
  {
    const std::lock_guard lock(mutex_);
    state_ = state;
  }
  List();
  record_.Add("worker " + model_.id + " says " + state);
}

void Worker::End() {
  {
    const std::lock_guard lock(mutex_);
    has_ended_ = true;
    for (const int descriptor : open_)
      shutdown(descriptor, SHUT_RDWR);
  }
  store_.Remove("servers", model_.id);
  record_.Add("worker " + model_.id + " ends");
}

std::vector<double> Worker::Arrivals() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

std::set<std::string> Worker::Run() {
  const std::lock_guard lock(mutex_);
  return run_;
}

void Worker::List() {
  Json::Value entry;
  {
    const std::lock_guard lock(mutex_);
    if (has_ended_)
      return;
    entry["state"] = state_;
    entry["seq"] = static_cast<Json::UInt64>(++sequence_);
  }
  entry["service"] = model_.service;
  entry["address"] = address_.Text();
  entry["zone"] = model_.zone;
  entry["version"] = model_.version;
  entry["slots"] = model_.slots;
  entry["coldRemainingMs"] = 0;
  entry["born"] = static_cast<Json::Int64>(born_);
  store_.Put("servers", model_.id, entry);
}

void Worker::Serve(Connection& connection) {
  {
    const std::lock_guard lock(mutex_);
    if (has_ended_)
      return;
    open_.push_back(connection.descriptor());
  }
  Request request;
  while (connection.ReadRequest(request) && ServeOne(connection, request)) {
  }
  const std::lock_guard lock(mutex_);
  std::erase(open_, connection.descriptor());
}

Headers Worker::SealOf(const Request& request) {
  const std::string id = request.Header("attempt-id");
  const std::lock_guard lock(mutex_);
  Headers headers = notices_;
  headers.emplace_back("Attempt-Id", id);
  headers.emplace_back("Server-Seal", "seal." + id);
  return headers;
}

bool Worker::ServeOne(Connection& connection, const Request& request) {
  if (request.target == "/health")
    return connection.Send(
        PrintResponse(200, {{"Instance-Id", model_.id}}, ""));
  const std::string expected = request.Header("expect-instance");
  if (!expected.empty() && expected != model_.id)
    return connection.Send(PrintResponse(
        421, {{"Not-Executed", "1"}, {"Instance-Id", model_.id}}, ""));
  Trouble trouble;
  {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(Now());
    trouble = trouble_;
  }
  if (trouble && trouble(connection, request))
    return false;
  if (request.target == "/v1/stage-run") {
    SleepSeconds(kStageCallSeconds);
    return connection.Send(StageAnswer(request));
  }
  if (request.target == "/v1/stage-free")
    return connection.Send(PrintResponse(200, {}, ""));
  record_.Add("worker " + model_.id + " runs " + request.Header("attempt-id") +
              " " + request.target);
  {
    const std::lock_guard lock(mutex_);
    run_.insert(request.Header("attempt-id"));
  }
  if (model_.events > 0)
    return SendStream(connection, request);
  SleepSeconds(model_.work_seconds);
  return connection.Send(PrintResponse(200, SealOf(request), "done"));
}

std::string Worker::StageAnswer(const Request& request) {
  Json::Value answer;
  answer["items"] = Json::Value(Json::arrayValue);
  const Json::Value call = ParseJson(request.body);
  const std::lock_guard lock(mutex_);
  for (const Json::Value& it : call["items"]) {
    const std::string handle = address_.Text() + "/" + std::to_string(born_) +
                               std::to_string(++last_handle_);
    Json::Value& item = answer["items"].append(Json::Value());
    item["handle"] = handle;
    record_.Add("worker " + model_.id + " makes piece " +
                it["piece"].asString() + " of " + it["id"].asString());
  }
  return PrintResponse(200, {{"Server-Load", "1,0,1"}}, PrintJson(answer));
}

bool Worker::SendStream(Connection& connection, const Request& request) {
  std::string head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n";
  for (const auto& [name, value] : SealOf(request))
    head.append(name).append(": ").append(value).append("\r\n");
  if (!connection.Send(head + "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  const std::string last = request.Header("last-event-id");
  for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= model_.events;
       ++i) {
    SleepSeconds(model_.gap_seconds);
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + model_.version + " " + model_.id +
                              "\n\n";
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    if (!connection.Send(size.data() + event + "\r\n"))
      return false;
  }
  return connection.Send("0\r\n\r\n");
}

Host::Host(HostModel model, std::string folder, Record& record)
    : model_(std::move(model)),
      folder_(std::move(folder)),
      record_(record),
      callers_{model_.ip, kCallersPort},
      readiness_{model_.ip, kReadinessPort} {}

Host::~Host() {
  if (!HasEnded()) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
}

std::string Host::Settings() const {
  std::ifstream file(kTemplate);
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  const std::map<std::string, std::string> texts{
      {"node", model_.name},
      {"zone", model_.zone},
      {"ip", model_.ip},
      {"listen.front", callers_.Text()},
      {"listen.ready", readiness_.Text()},
      {"platform.address", model_.store.Text()},
      {"internalPorts.0", std::to_string(kPeersPort)},
      {"limits.cpuShare", "0.25"},
      {"limits.linkMbps", "1000.0"},
      {"limits.memoryMb", std::to_string(model_.memory_mb)},
      {"limits.maxFds", "4100"},
      {"bounds.retrySlack", "56"},
      {"bounds.coldOver", ""},
      {"bounds.coldSlack", ""},
      {"bounds.graceS", "8"}};
  for (const auto& [name, value] : texts) {
    ReplaceAll(text, "{{" + name + "|json}}", "\"" + value + "\"");
    ReplaceAll(text, "{{" + name + "}}", value);
  }
  return text;
}

void Host::Start() {
  const std::string path = folder_ + "/" + model_.name + ".json";
  const std::string log = folder_ + "/" + model_.name + ".log";
  std::ofstream(path) << Settings();
  for (const uint16_t port : {kCallersPort, kReadinessPort, kPeersPort}) {
    if (!IsFree({model_.ip, port})) {
      std::cerr << "not free: " << model_.ip << ":" << port << "\n";
      std::_Exit(kExitCannotRun);
    }
  }
  const std::string variable = "BILBERRYLEVER_CONFIG=" + path;
  process_ = fork();
  if (process_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(log.c_str(), "a", stdout) == nullptr ||
        std::freopen(log.c_str(), "a", stderr) == nullptr)
      _exit(kExitCannotRun);
    std::string program = kProgram;
    std::string setting = variable;
    char* const arguments[] = {program.data(), nullptr};
    char* const environment[] = {setting.data(), nullptr};
    execve(kProgram, arguments, environment);
    _exit(kExitCannotRun);
  }
  Processes().push_back(process_);
  record_.Add("host " + model_.name + " starts, process " +
              std::to_string(process_));
}

void Host::Signal(int number) const {
  record_.Add("signal " + std::to_string(number) + " to host " + model_.name);
  kill(process_, number);
}

bool Host::HasEnded(int* status) {
  if (process_ < 0)
    return true;
  int ended = 0;
  if (waitpid(process_, &ended, WNOHANG) != process_)
    return false;
  if (status != nullptr)
    *status = ended;
  std::erase(Processes(), process_);
  process_ = -1;
  record_.Add("host " + model_.name + " has ended");
  return true;
}

bool Host::WaitForEnd(double seconds) {
  const double end = Now() + seconds;
  while (!HasEnded()) {
    if (Now() > end)
      return false;
    SleepSeconds(0.02);
  }
  return true;
}

bool Host::IsReady() const {
  return AskOnce(readiness_, {"GET", "/v1/ready", {{"Host", "x"}}, "", 1})
             .status == 200;
}

void Host::WaitUntilReady() const {
  const double end = Now() + kStartSeconds;
  while (!IsReady()) {
    if (Now() > end) {
      std::cerr << "host " << model_.name << " doesn't get ready\n";
      std::_Exit(kExitCannotRun);
    }
    SleepSeconds(0.05);
  }
  record_.Add("host " + model_.name + " is ready");
}

int Host::PeakMegabytes() const {
  std::ifstream file("/proc/" + std::to_string(process_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmHWM:", 0) == 0)
      return std::atoi(line.c_str() + 6) / 1024;
  }
  return 0;
}

Json::Value SmallState() {
  Json::Value state;
  state["version"] = 7;
  Json::Value stage;
  stage["service"] = "maker";
  stage["after"] = Json::Value(Json::arrayValue);
  stage["bytes"] = 8000;
  Json::Value draft = Stream("draft");
  draft["stages"].append(stage);
  Json::Value resume = Stream("resume");
  resume["resumable"] = true;
  resume["maxAttempts"] = 2;
  Json::Value order = Route("order", "non_idempotent", "orders");
  order["timeoutMs"] = 15000;
  for (const Json::Value& it :
       {Route("book", "non_idempotent", "desk"), order,
        Route("read", "idempotent", "desk"), draft, Stream("chat"), resume})
    state["routes"].append(it);
  Json::Value desk;
  desk["name"] = "desk";
  Json::Value llm;
  llm["name"] = "llm";
  llm["engine"]["slots"] = 64;
  Json::Value maker;
  maker["name"] = "maker";
  Json::Value& pieces = maker["pieces"];
  pieces["slots"] = 1;
  pieces["queue"] = 2;
  pieces["batch"] = 8;
  pieces["callMs"] = 150;
  pieces["itemMs"] = 16;
  pieces["roomMb"] = 36;
  pieces["handleS"] = 4;
  pieces["linkMbps"] = 10000;
  Json::Value orders;
  orders["name"] = "orders";
  for (Json::Value it : {desk, orders, llm, maker}) {
    it["healthPath"] = "/health";
    state["services"].append(it);
  }
  state["limits"]["maxHeaderBytes"] = 16384;
  state["limits"]["maxBodyBytes"] = 4194304;
  state["limits"]["headerTimeoutMs"] = 3000;
  state["limits"]["idleTimeoutMs"] = 15000;
  Json::Value tenant;
  tenant["name"] = "tenant-1";
  tenant["apiKeys"].append("key-1");
  state["tenants"].append(tenant);
  return state;
}

Bench::Bench(const std::string& folder) : record(folder + "/record.txt") {
  const char* trouble = std::getenv("TROUBLE");
  has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
  // Ends the run, and with it the processes that it started.
  std::signal(SIGALRM, [](int) {
    for (const pid_t it : Processes())
      kill(it, SIGKILL);
    _exit(kExitCannotRun);
  });
  alarm(kLongestRunSeconds);
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    std::_Exit(kExitCannotRun);
  folder_ = name;
  const int number = getpid();
  net_ = "127." + std::to_string(30 + number / 250 % 200) + "." +
         std::to_string(number % 250) + ".";
  record.Add(std::string("trouble: ") + (has_trouble_ ? "yes" : "no"));
  store = std::make_unique<Store>(NextIp(), record);
  store->Put("op", "config", SmallState());
}

Bench::~Bench() {
  hosts_.clear();
  std::filesystem::remove_all(folder_);
}

std::string Bench::NextIp() {
  return net_ + std::to_string(++last_ip_);
}

Host& Bench::AddHost(const std::string& name,
                     const std::string& zone,
                     const Address& store_address) {
  hosts_.push_back(std::make_unique<Host>(
      HostModel{name, zone, NextIp(), store_address}, folder_, record));
  hosts_.back()->Start();
  return *hosts_.back();
}

Worker& Bench::AddWorker(WorkerModel model) {
  workers_.push_back(new Worker(*store, record, NextIp(), std::move(model)));
  return *workers_.back();
}

Call Bench::MakeCall(const std::string& method,
                     const std::string& target,
                     int deadline_ms,
                     const std::string& body) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  std::array<char, 24> id{};
  std::snprintf(id.data(), id.size(), "%016llx",
                static_cast<unsigned long long>(getpid()) << 32U |
                    static_cast<unsigned long long>(++last_call_));
  Call call;
  call.method = method;
  call.target = target;
  call.body = body;
  call.patience = deadline_ms / 1000.0;
  call.headers = {{"Host", "shop.example"},
                  {"Attempt-Id", id.data()},
                  {"Deadline-Ms", std::to_string(deadline_ms)},
                  {"Authorization", "Token key-1"}};
  return call;
}

int Bench::Finish(bool is_broken, const std::string& verdict) {
  const std::string text =
      std::string(is_broken ? "BROKEN: " : "held: ") + verdict;
  record.Add(text);
  std::cout << text << std::endl;
  hosts_.clear();
  std::filesystem::remove_all(folder_);
  // Threads of servers still run.
  std::_Exit(is_broken ? 1 : 0);
}

}  // namespace review
