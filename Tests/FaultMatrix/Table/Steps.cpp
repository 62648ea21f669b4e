//===- Steps.cpp - Every step of every machine ----------------------------===//
//
// Names of enumerators and types come from __PRETTY_FUNCTION__, which GCC and
// Clang spell out in full; a value without an enumerator shows as a cast.
//
//===----------------------------------------------------------------------===//

#include "FaultMatrix/Table/Steps.h"

#include "LibConfig/ConfigFollower.h"
#include "LibConfig/ConfigWriter.h"
#include "LibIdempotency/HomeMachine.h"
#include "LibLease/LeaseMachine.h"
#include "LibOrder/OrderMachine.h"
#include "LibStream/AnswerStore.h"
#include "figlift-agent/Availability.h"

#include <set>
#include <string_view>
#include <utility>
#include <variant>

using namespace figlift;
using namespace figlift::test;

namespace {

using Names = std::vector<std::string>;

/// More than any of the machines has.
constexpr size_t MaximumEnumerators = 32;

/// What stands after the last "::" of the template argument that \p Function,
/// a __PRETTY_FUNCTION__ with one argument, ends with.
std::string lastName(std::string_view Function) {
  Function.remove_suffix(1);
  size_t Begin = Function.find_last_of(": =)") + 1;
  return std::string(Function.substr(Begin));
}

/// The result type is plain: GCC explains library types after the arguments.
template <auto Value> const char *spelledValue() { return __PRETTY_FUNCTION__; }
template <typename T> const char *spelledType() { return __PRETTY_FUNCTION__; }

/// Empty when no enumerator has the value: "[... Value = (E)7]".
template <auto Value> std::string enumerator() {
  const std::string_view Function = spelledValue<Value>();
  if (Function.find("= (") != std::string_view::npos)
    return {};
  return lastName(Function);
}

template <typename T> std::string typeName() {
  return lastName(spelledType<T>());
}

template <typename E, size_t... Values>
Names enumeratorsOf(std::index_sequence<Values...> /*Which*/) {
  Names Found;
  for (std::string Name : {enumerator<static_cast<E>(Values)>()...})
    if (!Name.empty())
      Found.push_back(std::move(Name));
  return Found;
}

template <typename E> Names enumerators() {
  return enumeratorsOf<E>(std::make_index_sequence<MaximumEnumerators>());
}

template <typename... Ts>
Names alternatives(const std::variant<Ts...> * /*Of*/) {
  return {typeName<Ts>()...};
}

Names states(std::span<const order::Transition> Table) {
  Names Found;
  std::set<order::State> Seen;
  for (const order::Transition &Row : Table)
    if (Seen.insert(Row.Source).second)
      Found.emplace_back(order::name(Row.Source));
  return Found;
}

/// Each phase with each call to the store that may be open in it; a stopped
/// machine asks for nothing.
Names leaseSteps() {
  Names Found;
  for (const std::string &Phase : enumerators<lease::LeaseMachine::Phase>())
    for (const std::string &Call : enumerators<lease::LeaseMachine::Waiting>())
      if (Phase != "Stopped" || Call == "Nothing")
        Found.push_back(Phase + "/" + Call);
  return Found;
}

} // namespace

std::vector<MachineSteps> figlift::test::allSteps() {
  return {
      {"lease", leaseSteps()},
      {"order", states(order::transitionTable())},
      {"config follower",
       alternatives(static_cast<config::follower::Action *>(nullptr))},
      {"config writer", enumerators<config::ConfigWriter::State>()},
      {"idempotency slice",
       enumerators<idempotency::HomeMachine::SliceState>()},
      {"idempotency claim", enumerators<idempotency::ClaimState>()},
      {"drain", enumerators<agent::DrainReason>()},
      {"stream", alternatives(static_cast<stream::Event *>(nullptr))},
      {"takeover", enumerators<idempotency::GrantReason>()},
  };
}
