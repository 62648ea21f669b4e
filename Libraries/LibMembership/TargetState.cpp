//===- TargetState.cpp - State of one target as seen by an entry ----------===//
//
// Conversion of agent states to and from their names on the wire.
//
//===----------------------------------------------------------------------===//

#include "LibMembership/TargetState.h"

#include <array>
#include <utility>

namespace figlift::membership {

namespace {

constexpr std::array<std::pair<AgentState, std::string_view>, 4> Names = {{
    {AgentState::Recovering, "recovering"},
    {AgentState::Serving, "serving"},
    {AgentState::Draining, "draining"},
    {AgentState::Drained, "drained"},
}};

} // namespace

AgentState agentStateFromName(std::string_view Name) {
  for (const auto &[State, Text] : Names)
    if (Text == Name)
      return State;
  return AgentState::Recovering;
}

std::string_view agentStateName(AgentState State) {
  for (const auto &[Candidate, Text] : Names)
    if (Candidate == State)
      return Text;
  return "recovering";
}

bool TargetState::acceptsWork() const {
  // A target that any one source reports as leaving gets no work: each of them
  // may be the first to know.
  return InSubset && Connected && Listed.State == platform::VmState::Live &&
         DesiredState == record::TargetIntent::Serve && Report &&
         Report->State == AgentState::Serving && Report->Accepting;
}

std::string_view TargetState::describe() const {
  if (Listed.State == platform::VmState::Gone)
    return "gone";
  if (!InSubset)
    return "not-connected";
  if (!Connected || !Report)
    return "unreachable";
  return agentStateName(Report->State);
}

} // namespace figlift::membership
