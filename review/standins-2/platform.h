// Stand-ins of the users' platform: its store, its workers, and the way in
// which it starts and stops entry hosts.

#pragma once

#include <json/value.h>
#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "net.h"

namespace review {

// Writes what was sent, answered and run, with the time of each line.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

std::string PrintJson(const Json::Value& value);

// The platform's store: tables with rows, one counter of versions, reads,
// transactions and held reads of changes.
class Store {
 public:
  // Returns whether the transaction gets no answer and is applied later, after
  // this many seconds; 0 to serve it as usual.
  using Lateness = std::function<double(const Json::Value& transaction)>;

  Store(std::string ip, Record& record);

  const Address& address() const { return address_; }
  void SetLateness(Lateness lateness);
  void Put(const std::string& table,
           const std::string& key,
           const Json::Value& value);
  void Remove(const std::string& table, const std::string& key);
  std::vector<std::string> Keys(const std::string& table);

 private:
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row {
    uint64_t version = 0;
    std::string value;  // In base64.
    bool is_removed = false;
  };

  void Serve(Connection& connection);
  std::string Handle(const Request& request);
  std::string List(const std::map<std::string, std::string>& arguments);
  std::string Follow(const std::map<std::string, std::string>& arguments);
  std::string Apply(const Json::Value& transaction);
  std::string Print(const Json::Value& rows, bool is_truncated) const;

  Record& record_;
  Address address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<RowKey, Row> rows_;
  uint64_t version_ = 0;
  Lateness lateness_;
};

// A proxy in front of the store that can cut off whoever uses it: bytes stop in
// both directions, and connections stay open.
class Link {
 public:
  Link(const std::string& ip, Address target);
  const Address& address() const { return address_; }
  void SetCut(bool is_cut);

 private:
  void Serve(Connection& connection);
  void Pass(const Connection& from, const Connection& to);

  Address target_;
  Address address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_cut_ = false;
};

struct WorkerModel {
  std::string id;
  std::string service;
  std::string zone = "z1";
  std::string version = "v1";  // Of its software.
  double work_seconds = 0.02;
  int events = 0;  // Above 0, answers are streams of so many events.
  double gap_seconds = 0.2;
  int slots = 8;
};

// A worker of a service. It lists itself and writes its entry every 1.2 s.
class Worker {
 public:
  // Serves a request in place of the worker; returns whether it did. The
  // connection is closed afterwards.
  using Trouble = std::function<bool(Connection&, const Request&)>;

  Worker(Store& store,
         Record& record,
         const std::string& ip,
         WorkerModel model);

  void SetTrouble(Trouble trouble);
  // Sent with each answer from now on.
  void SetNotices(Headers notices);
  void SetState(const std::string& state);
  // Ends the process: closes all connections, and accepts no more work.
  void End();
  // When requests arrived.
  std::vector<double> Arrivals();
  // Ids of the requests that it has run.
  std::set<std::string> Run();

 private:
  void List();
  void Serve(Connection& connection);
  bool ServeOne(Connection& connection, const Request& request);
  std::string StageAnswer(const Request& request);
  bool SendStream(Connection& connection, const Request& request);
  Headers SealOf(const Request& request);

  Store& store_;
  Record& record_;
  WorkerModel model_;
  Address address_;
  std::mutex mutex_;
  Trouble trouble_;
  Headers notices_;
  std::string state_ = "ready";
  bool has_ended_ = false;
  int64_t born_;
  uint64_t sequence_ = 0;
  uint64_t last_handle_ = 0;
  std::set<std::string> run_;
  std::vector<double> arrivals_;
  std::vector<int> open_;
};

struct HostModel {
  std::string name;
  std::string zone = "z1";
  std::string ip;
  Address store;
  int memory_mb = 260;
};

// An entry host: the program of the deploy file as a process of its own, with
// settings that the platform makes from the project's template.
class Host {
 public:
  Host(HostModel model, std::string folder, Record& record);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void Start();
  void Signal(int number) const;
  // Waits for the process to end; false if it hasn't after that time.
  bool WaitForEnd(double seconds);
  // Whether the process has ended; `status` is that of waitpid().
  bool HasEnded(int* status = nullptr);
  // Waits until the host says that it is ready; ends the program with code 2 if
  // it doesn't.
  void WaitUntilReady() const;
  bool IsReady() const;
  // The greatest memory that the process has had, in MB.
  int PeakMegabytes() const;

  const Address& callers() const { return callers_; }
  const std::string& name() const { return model_.name; }

 private:
  std::string Settings() const;

  HostModel model_;
  std::string folder_;
  Record& record_;
  Address callers_;
  Address readiness_;
  pid_t process_ = -1;
};

// A desired state with the routes /book/ (non_idempotent, on "desk"), /order/
// (the same on "orders", for up to 15 s), /read/ (idempotent, on "desk"),
// /draft/ (streaming on "llm", with one stage on "maker"), /chat/ (streaming on
// "llm") and /resume/ (streaming on "llm", may be resumed).
Json::Value SmallState();

// The addresses, the record and the folder of one run.
class Bench {
 public:
  // `folder` is the case's; the record goes there.
  explicit Bench(const std::string& folder);
  ~Bench();
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  // A loopback address that nobody else uses.
  std::string NextIp();
  Host& AddHost(const std::string& name,
                const std::string& zone,
                const Address& store_address);
  Worker& AddWorker(WorkerModel model);
  // A request as a client sends it, with an id of its own.
  Call MakeCall(const std::string& method,
                const std::string& target,
                int deadline_ms,
                const std::string& body = "{}");
  // Returns the exit code: 1 if the rule was broken.
  int Finish(bool is_broken, const std::string& verdict);

  bool has_trouble() const { return has_trouble_; }
  Record record;
  std::unique_ptr<Store> store;

 private:
  bool has_trouble_;
  std::string folder_;
  std::string net_;
  int last_ip_ = 0;
  uint64_t last_call_ = 0;
  std::vector<std::unique_ptr<Host>> hosts_;
  // Threads of servers go on until the process ends.
  std::vector<Worker*> workers_;
};

}  // namespace review
