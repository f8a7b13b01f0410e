#include "redwinggw/session/directory.hpp"

#include "redwinggw/wire/message.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

/// Whether the list has been readable for long enough that a missing entry
/// means a missing endpoint.
bool isTrusted(const directory &Directory, base::instant Now) {
  return !Directory.ReadableSince ||
         Now - *Directory.ReadableSince > Directory.Limits.ReregistrationTime;
}

void noteReading(directory &Directory, base::instant Now) {
  const bool WasAway = Directory.ReadAt &&
                       Now - *Directory.ReadAt > Directory.Limits.OutageAfter;
  if (WasAway)
    Directory.ReadableSince = Now;
  Directory.ReadAt = Now;
}

void takeEntry(directory &Directory, const endpoint_entry &Entry,
               base::instant Now, directory_changes &Changes) {
  const auto [At, New] =
      Directory.Endpoints.try_emplace(Entry.Name, known_endpoint{Entry});
  known_endpoint &Known = At->second;
  if (New || Known.Entry.StartedAt != Entry.StartedAt)
    Changes.Started.push_back(Entry.Name);
  else if (Known.Entry != Entry)
    Changes.Changed.push_back(Entry.Name);
  Known.Entry = Entry;
  if (!Entry.Draining)
    Known.LeavingSince.reset();
  else if (!Known.LeavingSince)
    Known.LeavingSince = New ? base::instant() : Now;
}

} // namespace

std::uint32_t digestOf(const std::vector<endpoint_entry> &Entries) {
  std::string Text;
  for (const endpoint_entry &Entry : Entries) {
    Text += Entry.Name + "/" + Entry.Service + "/" + Entry.Zone + "/";
    Text += toText(Entry.Address) + "/" + std::to_string(Entry.Slots) + "/";
    Text += std::to_string(static_cast<int>(Entry.Role)) + "/";
    Text += std::to_string(static_cast<int>(Entry.Draining)) + "/";
    Text += std::to_string(Entry.StartedAt) + "\n";
  }
  return wire::hashOf(Text);
}

directory_changes updateDirectory(directory &Directory,
                                  const std::vector<endpoint_entry> &Entries,
                                  base::instant Now) {
  noteReading(Directory, Now);
  directory_changes Changes;
  for (const endpoint_entry &Entry : Entries)
    takeEntry(Directory, Entry, Now, Changes);
  const bool Trusted = isTrusted(Directory, Now);
  std::erase_if(Directory.Endpoints, [&](const auto &Item) {
    const bool Listed =
        std::ranges::find(Entries, Item.first, &endpoint_entry::Name) !=
        Entries.end();
    const bool Gone = !Listed && Trusted;
    if (Gone)
      Changes.Gone.push_back(Item.first);
    return Gone;
  });
  return Changes;
}

std::vector<const endpoint_entry *> endpointsOf(const directory &Directory,
                                                std::string_view Service) {
  std::vector<const endpoint_entry *> Found;
  for (const auto &[Name, Known] : Directory.Endpoints)
    if (Known.Entry.Service == Service)
      Found.push_back(&Known.Entry);
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
