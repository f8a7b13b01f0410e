#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/log_point.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// In-memory simulation of a service's databases on the users' platform: one
/// log, a primary, and replicas that apply it later.
namespace redwinggw::standin {

struct log_entry {
  std::string Item;
  std::string Data;
  base::instant CommittedAt;
  std::string StatementId;
};

struct simulated_database {
  std::string Name;
  std::string Zone = "z1";
  bool Primary = false;
  bool Draining = false;
  /// Refuses connections and receives nothing.
  bool Down = false;
  /// Receives nothing from the primary.
  bool Deaf = false;
  /// Number of statements to run without sending a response; counts down.
  unsigned LoseAnswers = 0;
  /// Number of log entries received.
  std::size_t Received = 0;
  std::size_t Connections = 0;
  /// Time for which its entry says that it is still cold.
  base::milliseconds ColdRemaining{0};
  /// Number of connections and statements of all kinds that it received.
  std::size_t Requests = 0;
  /// Number of reads, writes and commits run here.
  std::size_t Statements = 0;
};

/// Not thread safe.
struct database_group {
  std::string Service;
  std::vector<simulated_database> Databases;
  std::vector<log_entry> Log;
  base::term_number Term = 1;
  /// Replication lag.
  base::milliseconds Lag{20};
  /// Replicas that have to receive a commit before it is acknowledged.
  unsigned SynchronousReplicas = 0;
  unsigned ConnectionLimit = 50;
  /// Number of runs of each statement, by the id that the caller sent.
  std::map<std::string, unsigned> Runs;
  std::set<std::string> Customers;
};

simulated_database *findDatabase(database_group &Group, std::string_view Name);

/// Delivers to the replicas the log entries that are older than the lag.
void replicate(database_group &Group, base::instant Now);

/// Whether enough replicas have received the first \p Entries entries.
bool isReplicated(const database_group &Group, std::size_t Entries);

session::log_point pointOf(const database_group &Group,
                           const simulated_database &Database);

/// The value of \p Item as \p Database sees it.
std::string valueAt(const database_group &Group,
                    const simulated_database &Database, std::string_view Item);

/// Makes \p Name the primary of the next term; entries that it has not received
/// are lost. Returns false if it is unknown or down.
bool promote(database_group &Group, std::string_view Name);

} // namespace redwinggw::standin
