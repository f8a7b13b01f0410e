#include "redwinggw/session/configuration_relay.hpp"

#include <utility>

namespace redwinggw::session {
namespace {

/// Small enough to arrive within a part's time over the slowest link.
constexpr std::size_t PartBytes = std::size_t{32} * 1024;

} // namespace

configuration_part partOf(const stored_configuration &Configuration,
                          std::size_t Begin) {
  configuration_part Part;
  Part.Row = Configuration.Row;
  Part.Text = Configuration.Text->substr(Begin, PartBytes);
  Part.Last = Begin + Part.Text.size() == Configuration.Text->size();
  return Part;
}

bool addPart(configuration_assembly &Assembly, configuration_part Part) {
  const bool First = Assembly.Row == 0;
  if (Part.Row == 0 || (!First && Part.Row != Assembly.Row))
    return false;
  Assembly.Row = Part.Row;
  Assembly.Text += Part.Text;
  Assembly.Complete = Part.Last;
  return true;
}

} // namespace redwinggw::session
