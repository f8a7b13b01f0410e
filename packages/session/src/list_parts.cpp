#include "redwinggw/session/list_parts.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace redwinggw::session {
namespace {

/// More parts than any list in use has; guards against a corrupt count.
constexpr std::size_t MaxParts = 256;

} // namespace

std::optional<std::vector<std::string>> addPart(list_assembly &Assembly,
                                                list_part Part) {
  const bool MakesSense = Part.Part < Part.Parts && Part.Parts <= MaxParts;
  if (!MakesSense || Part.Version < Assembly.Version)
    return std::nullopt;
  auto &Texts = Assembly.Texts;
  if (Part.Version > Assembly.Version || Texts.size() != Part.Parts)
    Texts.assign(Part.Parts, std::nullopt);
  Assembly.Version = Part.Version;
  Texts[Part.Part] = std::move(Part.Text);
  if (!std::ranges::all_of(Texts, &std::optional<std::string>::has_value))
    return std::nullopt;
  std::vector<std::string> Complete;
  std::ranges::transform(
      Texts, std::back_inserter(Complete),
      [](std::optional<std::string> &Text) { return std::move(*Text); });
  Texts.clear();
  return Complete;
}

bool replacesHeld(const list_identity &Received, std::uint64_t HeldVersion,
                  std::string_view Requested) {
  return Received.Version >= HeldVersion || Received.Digest == Requested;
}

} // namespace redwinggw::session
