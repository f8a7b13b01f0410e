#pragma once

#include "database.hpp"

#include <boost/asio.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

/// A small deployment: redwinggw's instances as processes, and stand-ins of the
/// users' platform, databases and clients in this process, all on loopback
/// addresses.
namespace review {

/// Writes record.txt: what was sent, answered and run, with the time since the
/// start in seconds.
class record {
public:
  explicit record(const std::string &File);
  void line(const std::string &Text);
  double seconds() const;

private:
  std::ofstream Stream;
  steady::time_point Start = steady::now();
};

/// A process of the system.
struct instance {
  std::string Name;
  std::string Zone;
  std::string Ip;
  std::string Settings;
  std::string Log;
  pid_t Process = 0;
};

/// A call of POST /promote.
struct promotion {
  double At = 0;
  std::string Service;
  std::string Database;
  std::string Holder;
  std::uint64_t Token = 0;
  /// Lower than one that the platform has seen for the service before.
  bool Lower = false;
};

/// What a client's operation came to.
struct outcome {
  std::string Id;
  double SentAt = 0;
  double AnsweredAt = 0;
  /// Empty for a success, otherwise the code, or "closed".
  std::string Error;
  std::string Signature;
  std::string Value;
};

struct world {
  /// \p Folder: that of the case. Instances are started by startInstances.
  explicit world(const std::string &Folder);
  ~world();
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  void addInstances(std::size_t Count);
  void startInstance(instance &Instance);
  void kill(instance &Instance);
  bool isReady(const instance &Instance);
  instance *find(std::string_view Name);

  /// One operation: a session with a single statement, repeated after a promise
  /// as often as clients do, at other instances. \p Text may hold %ID.
  task<outcome> operate(std::string Route, std::string Text);
  /// Runs until \p Main ends.
  void run(const std::function<task<>()> &Main);

  asio::io_context Context;
  record Record;
  store Store;
  group Group;
  std::vector<instance> Instances;
  std::vector<promotion> Promotions;
  /// Called before a client sends a statement.
  std::function<void(const std::string &Id, const std::string &Text)> OnSend;
  /// Called when an instance has claimed the move of a primary.
  std::function<void(const std::string &Orderer)> OnClaim;

private:
  task<outcome> attempt(instance &Instance, std::string Route,
                        std::string Text);
  task<> serveHttp(tcp::acceptor &Acceptor, bool IsStore);
  task<> serveConnection(tcp::socket Socket, bool IsStore);
  response promote(const std::map<std::string, std::string> &Headers,
                   const std::string &Body);
  void configure();

  std::string Directory;
  tcp::acceptor StoreAcceptor;
  tcp::acceptor CloudAcceptor;
  std::uint16_t FrontPort = 0;
  std::uint16_t ReadyPort = 0;
  std::uint16_t PeersPort = 0;
  std::uint16_t MetricsPort = 0;
  std::uint64_t LastId = 0;
  std::size_t NextInstance = 0;
  std::map<std::string, std::uint64_t> HighestToken;
};

/// Starts all instances; false if they do not become ready.
task<bool> startAll(world &World);

/// Whether the disruption is to happen: TROUBLE is not 0.
bool hasTrouble();

} // namespace review
