//===- LeaseKeeper.cpp - A lease that is a row of the table ---------------===//
//
// The row is {"holder","epoch","durationMilliseconds"}; its version, which the
// table keeps, is what observers watch.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseKeeper.h"

#include <nlohmann/json.hpp>

using namespace figlift;
using namespace figlift::lease;
using nlohmann::json;

namespace {

/// Content of a row; an unreadable one counts as held by nobody known, so that
/// its version still has to stand still for a whole duration.
lease::RowRead parseRow(const platform::Row &Read,
                        std::chrono::milliseconds DefaultDuration) {
  lease::RowRead Row;
  Row.Version = Read.Version;
  Row.Era = Read.Era;
  Row.Duration = DefaultDuration;
  if (Read.Version == 0)
    return Row;
  json Value = json::parse(Read.Value, nullptr, /*allow_exceptions=*/false);
  if (!Value.is_object()) {
    Row.Holder = "unreadable";
    return Row;
  }
  Row.Holder = Value.value("holder", "");
  Row.Epoch = Value.value("epoch", uint64_t{0});
  Row.Duration = std::chrono::milliseconds(
      Value.value("durationMilliseconds", DefaultDuration.count()));
  return Row;
}

} // namespace

LeaseKeeper::LeaseKeeper(platform::Table &Store, Post Run, std::string Key,
                         LeaseOptions Options, Observer Told)
    : m_Store(Store), m_Run(std::move(Run)), m_Key(std::move(Key)),
      m_Machine(std::move(Options)), m_Told(std::move(Told)) {}

void LeaseKeeper::tick() { step(lease::Tick{}); }

void LeaseKeeper::stop() { step(lease::StopRequested{}); }

std::optional<uint64_t> LeaseKeeper::epoch() const {
  return m_Machine.epoch(BootClock::now());
}

void LeaseKeeper::step(const lease::Event &What) {
  for (const lease::Action &Each : m_Machine.step(What, BootClock::now()))
    std::visit([this](const auto &One) { act(One); }, Each);
}

void LeaseKeeper::act(const lease::ReadRow &) {
  m_Store.read(m_Key, [Weak = weak_from_this(),
                       Run = m_Run](const Result<platform::Row> &Read) {
    Run([Weak, Read] {
      if (auto Self = Weak.lock())
        Self->rowRead(Read);
    });
  });
}

void LeaseKeeper::rowRead(const Result<platform::Row> &Read) {
  constexpr std::chrono::milliseconds DefaultDuration{3000};
  if (Read)
    step(parseRow(Read.value(), DefaultDuration));
  else
    step(lease::ReadFailed{});
}

void LeaseKeeper::act(const lease::CommitRow &What) {
  json Value{{"holder", What.Holder},
             {"epoch", What.Epoch},
             {"durationMilliseconds", What.Duration.count()}};
  platform::Transaction Change;
  Change.Conditions = {{m_Key, What.ExpectedVersion}};
  Change.Writes = {{m_Key, Value.dump()}};
  m_Store.commit(Change, [Weak = weak_from_this(),
                          Run = m_Run](const Result<std::monostate> &Done) {
    Run([Weak, Done] {
      if (auto Self = Weak.lock())
        Self->committed(Done);
    });
  });
}

void LeaseKeeper::committed(const Result<std::monostate> &Done) {
  if (Done)
    return step(lease::CommitSucceeded{});
  switch (Done.error().Code) {
  case ResultCode::StoreConflict:
    return step(lease::CommitConflicted{});
  case ResultCode::StoreUnavailable:
    return step(lease::StoreFailed{});
  default:
    return step(lease::CommitOutcomeUnknown{});
  }
}

void LeaseKeeper::act(const lease::BecomeHolder &What) {
  m_Told.Gained(What.Epoch);
}

void LeaseKeeper::act(const lease::LoseAuthority &What) {
  m_Told.Lost(What.Epoch);
}
