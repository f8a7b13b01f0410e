#include "native/database_group.hpp"

#include <algorithm>
#include <ranges>

namespace redwinggw::standin {

simulated_database *findDatabase(database_group &Group, std::string_view Name) {
  const auto Found =
      std::ranges::find(Group.Databases, Name, &simulated_database::Name);
  return Found == Group.Databases.end() ? nullptr : &*Found;
}

void replicate(database_group &Group, base::instant Now) {
  const auto Old = std::ranges::find_if(Group.Log, [&](const log_entry &Entry) {
    return Now - Entry.CommittedAt < Group.Lag;
  });
  const auto Applied = static_cast<std::size_t>(Old - Group.Log.begin());
  const auto Leads =
      std::ranges::find_if(Group.Databases, &simulated_database::Primary);
  const bool Sends = Leads != Group.Databases.end() && !Leads->Down;
  for (simulated_database &Database : Group.Databases) {
    if (Database.Primary)
      Database.Received = Group.Log.size();
    else if (Sends && !Database.Down && !Database.Deaf)
      Database.Received = std::max(Database.Received, Applied);
  }
}

bool isReplicated(const database_group &Group, std::size_t Entries) {
  const auto Holders = std::ranges::count_if(
      Group.Databases, [&](const simulated_database &Database) {
        return !Database.Primary && Database.Received >= Entries;
      });
  return static_cast<std::size_t>(Holders) >= Group.SynchronousReplicas;
}

session::log_point pointOf(const database_group &Group,
                           const simulated_database &Database) {
  return {Group.Term, Database.Received};
}

std::string valueAt(const database_group &Group,
                    const simulated_database &Database, std::string_view Item) {
  const auto Seen = Group.Log | std::views::take(Database.Received);
  std::string Value = "none";
  for (const log_entry &Entry : Seen)
    if (Entry.Item == Item)
      Value = Entry.Data;
  return Value;
}

bool promote(database_group &Group, std::string_view Name) {
  simulated_database *Next = findDatabase(Group, Name);
  if (Next == nullptr || Next->Down)
    return false;
  if (Next->Primary)
    return true;
  Group.Log.resize(Next->Received);
  for (simulated_database &Database : Group.Databases) {
    Database.Primary = &Database == Next;
    Database.Received = std::min(Database.Received, Group.Log.size());
  }
  ++Group.Term;
  return true;
}

} // namespace redwinggw::standin
