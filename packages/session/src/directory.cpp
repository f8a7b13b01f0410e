#include "redwinggw/session/directory.hpp"

#include "redwinggw/session/cold_rates.hpp"
#include "redwinggw/wire/message.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace redwinggw::session {
namespace {

/// Whether the list has been readable for long enough that a missing entry
/// means a missing endpoint.
bool isTrusted(const directory &Directory, base::instant Now) {
  return !Directory.ReadableSince ||
         Now - *Directory.ReadableSince > Directory.Limits.ReregistrationTime;
}

bool endsOutage(const directory &Directory, base::instant Now) {
  return Directory.ReadAt &&
         Now - *Directory.ReadAt > Directory.Limits.OutageAfter;
}

void noteReading(directory &Directory, base::instant Now) {
  if (endsOutage(Directory, Now))
    Directory.ReadableSince = Now;
  Directory.ReadAt = Now;
}

base::instant coldEndOf(const endpoint_entry &Entry, base::instant Now) {
  return Now + Entry.ColdRemaining + ColdMargin;
}

/// An unchanged remaining time is counted from its first read: the time runs on
/// while the entry stays the same.
void takeColdTime(known_endpoint &Known, const endpoint_entry &Entry,
                  bool Unchanged, base::instant Now) {
  if (Entry.ColdRemaining.count() <= 0)
    Known.ColdUntil.reset();
  else if (!Unchanged || !Known.ColdUntil)
    Known.ColdUntil = coldEndOf(Entry, Now);
}

/// \p ChangedSince: since when the entry may differ from what was known.
void takeEntry(directory &Directory, const endpoint_entry &Entry,
               base::instant ChangedSince, base::instant Now,
               directory_changes &Changes) {
  const auto [At, New] =
      Directory.Endpoints.try_emplace(Entry.Name, known_endpoint{Entry});
  known_endpoint &Known = At->second;
  if (New || Known.Entry.StartedAt != Entry.StartedAt)
    Changes.Started.push_back(Entry.Name);
  else if (Known.Entry != Entry)
    Changes.Changed.push_back(Entry.Name);
  const bool SameColdTime = !New && Known.Entry.StartedAt == Entry.StartedAt &&
                            Known.Entry.ColdRemaining == Entry.ColdRemaining;
  takeColdTime(Known, Entry, SameColdTime, Now);
  Known.Entry = Entry;
  if (!Entry.Draining)
    Known.LeavingSince.reset();
  else if (!Known.LeavingSince)
    Known.LeavingSince = New ? base::instant() : ChangedSince;
}

void indexByService(directory &Directory) {
  Directory.ByService.clear();
  for (const auto &[Name, Known] : Directory.Endpoints)
    Directory.ByService[Known.Entry.Service].push_back(Name);
}

} // namespace

std::uint32_t digestOf(const std::vector<endpoint_entry> &Entries) {
  std::string Text;
  for (const endpoint_entry &Entry : Entries) {
    Text += Entry.Name + "/" + Entry.Service + "/" + Entry.Zone + "/";
    Text += toText(Entry.Address) + "/" + std::to_string(Entry.Slots) + "/";
    Text += std::to_string(static_cast<int>(Entry.Role)) + "/";
    Text += std::to_string(static_cast<int>(Entry.Draining)) + "/";
    Text += std::to_string(Entry.StartedAt);
    if (Entry.ColdRemaining.count() != 0)
      Text += "/" + std::to_string(Entry.ColdRemaining.count());
    Text += "\n";
  }
  return wire::hashOf(Text);
}

directory_changes updateDirectory(directory &Directory,
                                  const std::vector<endpoint_entry> &Entries,
                                  base::instant Now) {
  const base::instant ChangedSince =
      endsOutage(Directory, Now) ? Directory.ReadAt.value_or(Now) : Now;
  noteReading(Directory, Now);
  directory_changes Changes;
  for (const endpoint_entry &Entry : Entries)
    takeEntry(Directory, Entry, ChangedSince, Now, Changes);
  const bool Trusted = isTrusted(Directory, Now);
  std::set<std::string_view> Listed;
  for (const endpoint_entry &Entry : Entries)
    Listed.insert(Entry.Name);
  std::erase_if(Directory.Endpoints, [&](const auto &Item) {
    const bool Gone = Trusted && !Listed.contains(Item.first);
    if (Gone)
      Changes.Gone.push_back(Item.first);
    return Gone;
  });
  indexByService(Directory);
  return Changes;
}

bool confirmDirectory(directory &Directory,
                      const std::vector<endpoint_entry> &Entries,
                      base::instant Now) {
  if (Directory.Endpoints.size() != Entries.size())
    return false;
  noteReading(Directory, Now);
  return true;
}

std::optional<base::instant> countsAsMissingSince(const directory &Directory,
                                                  base::instant Noticed,
                                                  base::instant Now) {
  if (!Directory.ReadAt ||
      Now - *Directory.ReadAt > Directory.Limits.OutageAfter)
    return std::nullopt;
  return std::max(Noticed, Directory.ReadableSince.value_or(Noticed));
}

std::vector<const endpoint_entry *> endpointsOf(const directory &Directory,
                                                std::string_view Service) {
  std::vector<const endpoint_entry *> Found;
  const auto Names = Directory.ByService.find(Service);
  if (Names == Directory.ByService.end())
    return Found;
  std::ranges::transform(Names->second, std::back_inserter(Found),
                         [&](const base::endpoint_name &Name) {
                           return findEndpoint(Directory, Name);
                         });
  return Found;
}

void keepColdTimes(const directory &Directory,
                   std::vector<endpoint_entry> &Entries, base::instant Now) {
  // Reads arrive up to this much earlier or later than the time that they are
  // about. ColdMargin covers an end that is later by less.
  constexpr base::milliseconds Later{500};
  constexpr base::milliseconds Earlier{2000};
  static_assert(Later < ColdMargin);
  for (endpoint_entry &Entry : Entries) {
    const auto Found = Directory.Endpoints.find(Entry.Name);
    if (Entry.ColdRemaining.count() <= 0 ||
        Found == Directory.Endpoints.end() ||
        Found->second.Entry.StartedAt != Entry.StartedAt)
      continue;
    const base::instant End = coldEndOf(Entry, Now);
    const base::instant Known =
        Found->second.ColdUntil.value_or(base::instant());
    if (End <= Known + Later && End >= Known - Earlier)
      Entry.ColdRemaining = Found->second.Entry.ColdRemaining;
  }
}

std::vector<const endpoint_entry *>
workingEndpointsOf(const directory &Directory, std::string_view Service,
                   base::instant Now) {
  auto Found = endpointsOf(Directory, Service);
  std::erase_if(Found, [&](const endpoint_entry *Entry) {
    return !acceptsWork(Directory, Directory.Endpoints.at(Entry->Name), Now);
  });
  return Found;
}

bool acceptsWork(const directory &Directory, const known_endpoint &Endpoint,
                 base::instant Now) {
  return !Endpoint.LeavingSince ||
         Now - *Endpoint.LeavingSince < Directory.Limits.LeavingGrace;
}

const endpoint_entry *findEndpoint(const directory &Directory,
                                   std::string_view Name) {
  const auto Found = Directory.Endpoints.find(Name);
  return Found == Directory.Endpoints.end() ? nullptr : &Found->second.Entry;
}

} // namespace redwinggw::session
