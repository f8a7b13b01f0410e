#pragma once

#include "native/answer_faults.hpp"

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/log_point.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// In-memory simulation of a service's databases on the users' platform: each
/// has a log of its own, and replicas receive the primary's with a delay.
namespace redwinggw::standin {

struct log_entry {
  std::string Item;
  std::string Data;
  base::instant CommittedAt;
  std::string StatementId;
  /// Term of the primary that committed it.
  base::term_number Term = 1;

  friend bool operator==(const log_entry &, const log_entry &) = default;
};

struct simulated_database {
  std::string Name;
  std::string Zone = "z1";
  /// Its role and term as it knows them: a former primary keeps the role until
  /// it learns of a later term.
  bool Primary = false;
  base::term_number Term = 1;
  bool Draining = false;
  /// Refuses connections and receives nothing.
  bool Down = false;
  /// Receives nothing from the primary.
  bool Deaf = false;
  /// Has no connection to the other databases, but to everybody else.
  bool Partitioned = false;
  /// Since when a former primary has reached its successor.
  std::optional<base::instant> SuccessorReachedAt;
  /// Number of statements to run without sending a response; counts down.
  unsigned LoseAnswers = 0;
  /// The entries received.
  std::vector<log_entry> Log;
  std::size_t Connections = 0;
  /// Time for which its entry says that it is still cold.
  base::milliseconds ColdRemaining{0};
  /// Number of connections and statements of all kinds that it received.
  std::size_t Requests = 0;
  /// Number of reads, writes and commits run here.
  std::size_t Statements = 0;
};

/// A write that a database ran while another one led a later term.
struct former_primary_write {
  std::string Database;
  /// The id of the write or, in a transaction, of its commit.
  std::string StatementId;
  base::instant CommittedAt;
};

/// A read, write or commit that a database ran.
struct statement_run {
  /// As it arrived, without the position that it had to wait for.
  std::string Text;
  /// The rows that it was answered with.
  std::vector<std::string> Rows;
};

/// Not thread safe.
struct database_group {
  std::string Service;
  std::vector<simulated_database> Databases;
  /// The newest term, and the database that leads it.
  base::term_number Term = 1;
  std::string Leader;
  /// Number of writes run by a database that leads an older term.
  std::size_t WritesAtFormerPrimaries = 0;
  std::vector<former_primary_write> FormerPrimaryWrites;
  /// Replication lag.
  base::milliseconds Lag{20};
  /// How long a former primary goes on after it has reached its successor.
  base::milliseconds DemotionTime{0};
  /// Replicas that have to receive a commit before it is acknowledged.
  unsigned SynchronousReplicas = 0;
  unsigned ConnectionLimit = 50;
  /// Number of runs of each statement, by the id that the caller sent.
  std::map<std::string, unsigned> Runs;
  /// All runs of each statement, by the same id.
  std::map<std::string, std::vector<statement_run>> RunTexts;
  std::set<std::string> Customers;
  answer_faults Faults;
  /// Number of answers that were sent twice.
  std::size_t Repeats = 0;
  std::mt19937_64 Random;
};

simulated_database *findDatabase(database_group &Group, std::string_view Name);

/// Delivers to the replicas the log entries that are older than the lag.
/// Databases that can reach the primary follow it, and drop what it lacks.
void replicate(database_group &Group, base::instant Now);

/// Whether enough databases besides \p Primary have received the first
/// \p Entries entries.
bool isReplicated(const database_group &Group,
                  const simulated_database &Primary, std::size_t Entries);

session::log_point pointOf(const simulated_database &Database);

/// The value of \p Item as \p Database sees it.
std::string valueAt(const simulated_database &Database, std::string_view Item);

/// Whether \p Name may be promoted.
bool isRunning(database_group &Group, std::string_view Name);

/// Makes \p Name the primary of the next term, with the log that it has. No
/// effect on the present primary and on one that is not running. Whether there
/// was one.
bool promote(database_group &Group, std::string_view Name);

} // namespace redwinggw::standin
