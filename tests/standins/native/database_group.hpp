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

/// A service's databases as the users' platform runs them, in memory: one log,
/// a primary and replicas that apply it later.
namespace redwinggw::standin {

struct log_entry {
  std::string Item;
  std::string Data;
  base::instant CommittedAt;
  std::string StatementId;
};

struct simulated_database {
  std::string Name;
  bool Primary = false;
  bool Draining = false;
  /// It refuses connections.
  bool Down = false;
  /// It runs statements and loses their answers; counts down.
  unsigned LoseAnswers = 0;
  /// Entries of the log that it has.
  std::size_t Received = 0;
  std::size_t Connections = 0;
};

/// Not thread safe.
struct database_group {
  std::string Service;
  std::string Zone = "z1";
  std::vector<simulated_database> Databases;
  std::vector<log_entry> Log;
  base::term_number Term = 1;
  /// How long replicas trail.
  base::milliseconds Lag{20};
  unsigned ConnectionLimit = 50;
  /// Statements that ran, by the caller's id.
  std::map<std::string, unsigned> Runs;
  std::set<std::string> Customers;
};

simulated_database *findDatabase(database_group &Group, std::string_view Name);

/// Lets replicas receive what is old enough.
void replicate(database_group &Group, base::instant Now);

session::log_point pointOf(const database_group &Group,
                           const simulated_database &Database);

/// The value of \p Item as \p Database sees it.
std::string valueAt(const database_group &Group,
                    const simulated_database &Database, std::string_view Item);

/// Makes \p Name the primary of the next term; entries that it lacks are lost.
/// False when it is not known or down.
bool promote(database_group &Group, std::string_view Name);

} // namespace redwinggw::standin
