#include "native/database_group.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace redwinggw::standin {

simulated_database *findDatabase(database_group &Group, std::string_view Name) {
  const auto Found =
      std::ranges::find(Group.Databases, Name, &simulated_database::Name);
  return Found == Group.Databases.end() ? nullptr : &*Found;
}

namespace {

/// Makes \p Replica follow \p Leader, whose first \p Sent entries have been
/// sent by now.
void follow(simulated_database &Replica, const simulated_database &Leader,
            std::size_t Sent) {
  Replica.Primary = false;
  Replica.SuccessorReachedAt.reset();
  Replica.Term = Leader.Term;
  const auto Common =
      std::ranges::mismatch(Replica.Log, Leader.Log).in1 - Replica.Log.begin();
  const auto Kept = static_cast<std::size_t>(Common);
  Replica.Log.resize(Kept);
  const auto Missing = Leader.Log | std::views::take(std::max(Sent, Kept)) |
                       std::views::drop(Kept);
  std::ranges::copy(Missing, std::back_inserter(Replica.Log));
}

/// Whether \p Database is a former primary that goes on for now.
bool isStillInRole(const database_group &Group, simulated_database &Database,
                   base::instant Now) {
  if (!Database.Primary)
    return false;
  if (!Database.SuccessorReachedAt)
    Database.SuccessorReachedAt = Now;
  return Now - *Database.SuccessorReachedAt < Group.DemotionTime;
}

} // namespace

void replicate(database_group &Group, base::instant Now) {
  const simulated_database *Leader = findDatabase(Group, Group.Leader);
  if (Leader == nullptr || Leader->Down || Leader->Partitioned)
    return;
  const auto Old =
      std::ranges::find_if(Leader->Log, [&](const log_entry &Entry) {
        return Now - Entry.CommittedAt < Group.Lag;
      });
  const auto Sent = static_cast<std::size_t>(Old - Leader->Log.begin());
  for (simulated_database &Database : Group.Databases)
    if (&Database != Leader && !Database.Down && !Database.Deaf &&
        !Database.Partitioned && !isStillInRole(Group, Database, Now))
      follow(Database, *Leader, Sent);
}

bool isReplicated(const database_group &Group,
                  const simulated_database &Primary, std::size_t Entries) {
  const auto Holders = std::ranges::count_if(
      Group.Databases, [&](const simulated_database &Database) {
        return &Database != &Primary && Database.Log.size() >= Entries &&
               (Entries == 0 ||
                Database.Log[Entries - 1] == Primary.Log[Entries - 1]);
      });
  return static_cast<std::size_t>(Holders) >= Group.SynchronousReplicas;
}

session::log_point pointOf(const simulated_database &Database) {
  const base::term_number Term =
      Database.Log.empty() ? 1 : Database.Log.back().Term;
  return {Term, Database.Log.size()};
}

std::string valueAt(const simulated_database &Database, std::string_view Item) {
  std::string Value = "none";
  for (const log_entry &Entry : Database.Log)
    if (Entry.Item == Item)
      Value = Entry.Data;
  return Value;
}

bool isRunning(database_group &Group, std::string_view Name) {
  const simulated_database *Found = findDatabase(Group, Name);
  return Found != nullptr && !Found->Down;
}

bool promote(database_group &Group, std::string_view Name) {
  if (!isRunning(Group, Name) || Group.Leader == Name)
    return false;
  simulated_database &Next = *findDatabase(Group, Name);
  Next.Term = ++Group.Term;
  Next.Primary = true;
  Next.SuccessorReachedAt.reset();
  Group.Leader = Next.Name;
  replicate(Group, base::now());
  return true;
}

} // namespace redwinggw::standin
