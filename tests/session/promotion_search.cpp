#include "promotion_search.hpp"

#include <algorithm>
#include <cstring>
#include <random>
#include <ranges>
#include <string_view>
#include <type_traits>
#include <unordered_map>

namespace redwinggw::promotion_model {
namespace {

static_assert(std::has_unique_object_representations_v<state>);

struct state_hash {
  std::size_t operator()(const state &State) const {
    std::array<char, sizeof(state)> Bytes{};
    std::memcpy(Bytes.data(), &State, sizeof(state));
    return std::hash<std::string_view>{}({Bytes.data(), Bytes.size()});
  }
};

struct state_equal {
  bool operator()(const state &Left, const state &Right) const {
    return std::memcmp(&Left, &Right, sizeof(state)) == 0;
  }
};

struct visit {
  const state *State = nullptr;
  std::string_view Step;
  std::uint32_t Parent = 0;
  number First = 0;
  number Second = 0;
};

struct edge {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
};

struct graph {
  std::unordered_map<state, std::uint32_t, state_hash, state_equal> Index;
  std::vector<visit> Visits;
  /// Without faults.
  std::vector<edge> Edges;
};

std::string lineOf(const setting &Setting, std::string_view Name, number First,
                   number Second, const state &State) {
  std::string Line(Name);
  Line += " " + std::to_string(First) + " " + std::to_string(Second);
  return Line + "\n    " + describe(Setting, State) + "\n";
}

std::uint32_t visitState(graph &Graph, const transition &Step,
                         std::uint32_t Parent) {
  const auto Next = static_cast<std::uint32_t>(Graph.Visits.size());
  const auto [At, New] = Graph.Index.try_emplace(Step.Next, Next);
  if (New)
    Graph.Visits.push_back(
        {&At->first, Step.Name, Parent, Step.First, Step.Second});
  return At->second;
}

std::string traceTo(const setting &Setting, const graph &Graph,
                    std::size_t At) {
  std::vector<std::string> Lines;
  for (; At != 0; At = Graph.Visits[At].Parent) {
    const visit &Visit = Graph.Visits[At];
    Lines.push_back(
        lineOf(Setting, Visit.Step, Visit.First, Visit.Second, *Visit.State));
  }
  std::string Trace;
  for (const std::string &Line : Lines | std::views::reverse)
    Trace += Line;
  return Trace;
}

using state_set = std::vector<bool>;

/// The settled states, and those from which one of the edges leads to a settled
/// one, or every one if \p All. Precondition: the edges are sorted by their
/// ends.
state_set settling(const setting &Setting, const graph &Graph, bool All) {
  std::vector<std::uint32_t> Left(Graph.Visits.size(), 1);
  if (All) {
    std::ranges::fill(Left, 0);
    for (const edge &Edge : Graph.Edges)
      ++Left[Edge.From];
  }
  state_set Found(Graph.Visits.size());
  std::vector<std::uint32_t> Queue;
  for (std::uint32_t At = 0; At < Graph.Visits.size(); ++At)
    if (isSettled(Setting, *Graph.Visits[At].State)) {
      Found[At] = true;
      Queue.push_back(At);
    }
  while (!Queue.empty()) {
    const std::uint32_t To = Queue.back();
    Queue.pop_back();
    for (const edge &Edge :
         std::ranges::equal_range(Graph.Edges, To, {}, &edge::To)) {
      if (Found[Edge.From] || --Left[Edge.From] != 0)
        continue;
      Found[Edge.From] = true;
      Queue.push_back(Edge.From);
    }
  }
  return Found;
}

std::string traceToFirst(const setting &Setting, const graph &Graph,
                         const state_set &Not) {
  const auto First = std::ranges::find(Not, false);
  return traceTo(Setting, Graph, static_cast<std::size_t>(First - Not.begin()));
}

void checkProgress(const setting &Setting, graph &Graph,
                   search_result &Result) {
  std::ranges::sort(Graph.Edges, {}, &edge::To);
  const auto Not = [](const state_set &Set) {
    return static_cast<std::size_t>(std::ranges::count(Set, false));
  };
  const state_set Can = settling(Setting, Graph, false);
  const state_set Must = settling(Setting, Graph, true);
  Result.Stuck = Not(Can);
  Result.Endless = Not(Must) - Result.Stuck;
  if (Result.Stuck != 0)
    Result.Trace = traceToFirst(Setting, Graph, Can);
  else if (Result.Endless != 0)
    Result.Trace = traceToFirst(Setting, Graph, Must);
}

} // namespace

search_result searchAll(const setting &Setting, std::size_t MaxStates) {
  graph Graph;
  search_result Result;
  visitState(Graph, {"begin", 0, 0, false, initialState(Setting)}, 0);
  std::size_t At = 0;
  for (; At < Graph.Visits.size() && Graph.Visits.size() < MaxStates; ++At) {
    const state &State = *Graph.Visits[At].State;
    for (const transition &Step : transitionsOf(Setting, State)) {
      const std::uint32_t To =
          visitState(Graph, Step, static_cast<std::uint32_t>(At));
      if (Step.Next.Broken != fault::None) {
        Result.Broken = Step.Next.Broken;
        Result.Trace = traceTo(Setting, Graph, To);
        Result.States = Graph.Visits.size();
        return Result;
      }
      if (!Step.Fault)
        Graph.Edges.push_back({static_cast<std::uint32_t>(At), To});
    }
  }
  Result.States = Graph.Visits.size();
  Result.Complete = At == Graph.Visits.size();
  if (Result.Complete)
    checkProgress(Setting, Graph, Result);
  return Result;
}

search_result walk(const setting &Setting, std::uint32_t Seed,
                   std::size_t Walks, std::size_t Steps) {
  std::mt19937 Random(Seed);
  search_result Result;
  for (std::size_t Walk = 0; Walk < Walks; ++Walk) {
    std::vector<transition> Taken{
        {"begin", 0, 0, false, initialState(Setting)}};
    while (Taken.size() < Steps && Result.Broken == fault::None) {
      auto Next = transitionsOf(Setting, Taken.back().Next);
      if (Next.empty())
        break;
      Taken.push_back(Next[Random() % Next.size()]);
      Result.Broken = Taken.back().Next.Broken;
      ++Result.States;
    }
    if (Result.Broken == fault::None)
      continue;
    for (const transition &Step : Taken)
      Result.Trace +=
          lineOf(Setting, Step.Name, Step.First, Step.Second, Step.Next);
    return Result;
  }
  return Result;
}

} // namespace redwinggw::promotion_model
