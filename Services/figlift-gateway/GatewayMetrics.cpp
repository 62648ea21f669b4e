//===- GatewayMetrics.cpp - Metrics of a gateway --------------------------===//
//
// Metrics of the process and of each service, and the log event for a change of
// the learned engine costs.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <cmath>
#include <utility>

namespace figlift::gateway {

namespace {

/// A relative change of the learned prefill cost by more than this is logged:
/// plans before and after it differ visibly.
constexpr double LoggedCostChange = 0.15;

} // namespace

void Gateway::describeMetrics() {
  metrics::Registry &Metrics = m_Shared.Metrics;
  Metrics.registerGauge(
      "figlift_gateway_store_age_seconds",
      "Age of what is known of the store's list of servers", [this] {
        return std::chrono::duration<double>(BootClock::now() -
                                             m_ServerJournal.knownAt())
            .count();
      });
  Metrics.registerGauge("figlift_gateway_configuration_version",
                        "Version in force; 0 for none", [this] {
                          return m_Shared.Configuration
                                     ? double(m_Shared.Configuration->Version)
                                     : 0;
                        });
  Metrics.registerGauge(
      "figlift_gateway_targets", "Servers that are listed",
      [this] { return double(m_Shared.Targets.all().size()); });
  Metrics.registerGauge(
      "figlift_gateway_live_gateways", "Gateways heard lately, this one too",
      [this] { return double(m_Peers.liveCount(BootClock::now())); });
  Metrics.registerCounter(
      "figlift_gateway_messages_dropped_total",
      "Messages whose handling threw an unexpected exception",
      [] { return double(log::droppedMessages()); });
  Metrics.registerGauge("figlift_gateway_callers",
                        "Open connections of callers",
                        [this] { return double(m_Callers.size()); });
  Metrics.registerGauge("figlift_gateway_connections_open",
                        "Open connections to servers", [this] {
                          size_t Sum = 0;
                          for (const auto &[Id, Pool] : m_Shared.Pools)
                            Sum += Pool->openConnections();
                          return double(Sum);
                        });
  Metrics.registerCounter("figlift_gateway_connections_opened_total",
                          "Connections made to the servers that are listed",
                          [this] {
                            uint64_t Sum = 0;
                            for (const auto &[Id, Pool] : m_Shared.Pools)
                              Sum += Pool->totalOpened();
                            return double(Sum);
                          });
  Metrics.registerCounter(
      "figlift_gateway_server_entries_refused_total",
      "Entries in the list of servers that name none to use",
      [this] { return double(m_RejectedEntries); });
  Metrics.registerCounter(
      "figlift_gateway_store_rows_refused_total",
      "Rows in responses of the store that cannot be decoded",
      [this] { return double(m_RefusedStoreRows); });
  Metrics.registerCounter("figlift_gateway_datagrams_refused_total",
                          "Datagrams that no gateway of this fleet has sealed",
                          [this] { return double(m_PeerLink.rejected()); });
  Metrics.registerCounter("figlift_gateway_report_items_left_out_total",
                          "Items that did not fit into reports to gateways",
                          [this] { return double(m_PeerLink.itemsLeftOut()); });
  Metrics.registerCounter("figlift_gateway_datagrams_unsent_total",
                          "Datagrams to gateways that could not be sent",
                          [this] { return double(m_PeerLink.sendsFailed()); });
  Metrics.registerCounter(
      "figlift_gateway_server_crashes_total",
      "Servers that ended under requests of this gateway",
      [this] { return double(m_Shared.Crashes.crashes()); });
  Metrics.registerGauge(
      "figlift_gateway_suspected_requests",
      "Requests under which servers ended, of the whole fleet",
      [this] { return double(m_Shared.Crashes.suspects().size()); });
  Metrics.registerGauge(
      "figlift_gateway_crash_causes",
      "Prompt parts and requests that explain crashes of servers and are "
      "rejected, of the whole fleet",
      [this] { return double(m_Shared.Crashes.causes().rejectedCount()); });
  Metrics.registerGauge(
      "figlift_gateway_recorded_crashes",
      "Crashes of servers, of the whole fleet, whose cause is looked for",
      [this] { return double(m_Shared.Crashes.causes().crashCount()); });
  Metrics.registerCounter(
      "figlift_gateway_requests_held_back_total",
      "Requests refused because servers ended under them",
      [this] { return double(m_Shared.Crashes.rejected()); });
  Metrics.registerGauge(
      "figlift_gateway_limited_servers",
      "Servers that name how many requests they take",
      [this] { return double(m_Shared.Limits.activeLimits().size()); });
  Metrics.registerGauge(
      "figlift_gateway_backing_off_servers",
      "Servers that have asked this gateway for a pause", [this] {
        return double(
            m_Shared.Feedback.backoffs().activeCount(BootClock::now()));
      });
  Metrics.registerCounter(
      "figlift_gateway_backoffs_received_total",
      "Responses in which a server asked for a pause",
      [this] { return double(m_Shared.Feedback.backoffsReceived()); });
  Metrics.registerGauge(
      "figlift_gateway_held_bytes",
      "Bytes of callers and servers that count against the bound on memory",
      [this] { return double(m_Shared.Memory.used()); });
  Metrics.registerGauge(
      "figlift_gateway_held_bytes_highest",
      "Highest value of figlift_gateway_held_bytes since the start",
      [this] { return double(m_Shared.Memory.highest()); });
  Metrics.registerCounter(
      "figlift_gateway_answers_skipped_total",
      "Answers of servers that were not the one to the request that waited",
      [this] { return double(m_Shared.Feedback.skippedResponses()); });
  Metrics.registerCounter(
      "figlift_gateway_sends_held_back_total",
      "Requests and calls not sent at the last moment, as their server had "
      "asked for a pause",
      [this] { return double(m_Shared.Feedback.heldBack()); });
  Metrics.registerGauge("figlift_gateway_queue_requests",
                        "Requests that wait for a full service",
                        [this] { return double(m_Shared.Queues.waiting()); });
  Metrics.registerGauge(
      "figlift_gateway_queue_bytes",
      "Bytes of the requests that wait for a full service",
      [this] { return double(m_Shared.Queues.waitingBytes()); });
  Metrics.registerCounter(
      "figlift_gateway_announced_shutdowns_total",
      "Servers that said in a response that they were shutting down, before "
      "their entries did",
      [this] { return double(m_AnnouncedShutdowns); });
  Metrics.registerCounter(
      "figlift_gateway_unknown_fields_total",
      "Header fields in responses of servers that nothing reads",
      [this] { return double(m_Shared.Feedback.unknownFields()); });
  Metrics.registerGauge(
      "figlift_gateway_stream_origins",
      "Streams, of the whole fleet, whose software version is remembered",
      [this] { return double(m_Shared.Origins.size()); });
  Metrics.registerGauge("figlift_gateway_store_era",
                        "Rises whenever the store comes back from a copy",
                        [this] { return double(m_Store.era()); });
  Metrics.registerCounter("figlift_gateway_store_calls_total",
                          "Calls to the platform's store",
                          [this] { return double(m_Store.calls()); });
  Metrics.registerCounter(
      "figlift_gateway_connections_closed_unread_total",
      "New connections that were closed unread, as the process was late",
      [this] { return double(m_AcceptControl.closed()); });
  constexpr auto Rejected = "figlift_gateway_connections_rejected_total";
  constexpr auto RejectedHelp = "New connections that were answered with 503, "
                                "for lack of file descriptors";
  Metrics.registerCounter(Rejected, RejectedHelp,
                          [this] { return double(m_RejectedAtBound); },
                          {{"reason", "bound"}});
  Metrics.registerCounter(
      Rejected, RejectedHelp,
      [this] { return double(m_RejectedWithoutDescriptor); },
      {{"reason", "descriptors"}});
  Metrics.registerCounter(
      "figlift_gateway_abandoned_requests_total",
      "Requests that were read late, after their callers had left",
      [this] { return double(m_AbandonedRequests); });
  Metrics.registerCounter(
      "figlift_gateway_loop_delay_seconds_total",
      "Time by which ten looks a second at the clock were late", [this] {
        return std::chrono::duration<double>(
                   m_Shared.Delay.total(BootClock::now()))
            .count();
      });
  Metrics.registerCounter(
      "figlift_gateway_unconfirmed_versions_total",
      "Servers that refused connections, so that they may have restarted with "
      "another software version",
      [this] { return double(m_Shared.Restarts.refusals()); });
  Metrics.registerCounter("figlift_gateway_reloads_total",
                          "Changes of the settings that were taken",
                          [this] { return double(m_Reloads); });
  Metrics.registerCounter("figlift_gateway_log_lines_left_out_total",
                          "Lines beyond the allowance of their kind",
                          [this] { return double(m_Shared.Log.suppressed()); });
  Metrics.registerCounter("figlift_gateway_log_lines_dropped_total",
                          "Lines that standard output did not take",
                          [this] { return double(m_Output.dropped()); });
}

/// Registers the gauges of each service; services change with the
/// configuration.
void Gateway::describeServices() {
  metrics::Registry &Metrics = m_Shared.Metrics;
  for (const dispatch::Service &Service : m_Shared.Configuration->Services) {
    const metrics::Labels Labels = {{"service", Service.Name}};
    Metrics.registerGauge(
        "figlift_gateway_repeat_budget_left", "Repeats that may be sent now",
        [this, Name = Service.Name] {
          return m_Shared.Budget.remaining(Name, BootClock::now());
        },
        Labels);
    if (!Service.Engine)
      continue;
    const auto Costs = [this, Name = Service.Name] {
      return m_Shared.EngineModels[Name].parameters(BootClock::now());
    };
    Metrics.registerGauge(
        "figlift_gateway_engine_read_fixed_seconds",
        "Learned: fixed part of reading a prompt",
        [Costs] { return Costs().PrefillFixed.count() / 1000; }, Labels);
    Metrics.registerGauge(
        "figlift_gateway_engine_read_thousand_tokens_seconds",
        "Learned: reading a thousand tokens of a prompt",
        [Costs] { return Costs().PrefillPerThousandTokens.count() / 1000; },
        Labels);
    Metrics.registerGauge(
        "figlift_gateway_start_lag_seconds",
        "Lateness of first events that plans allow for; the largest of the "
        "service's routes",
        [this, Name = Service.Name] {
          return m_Shared.StartLags.largest(Name, BootClock::now()).count() /
                 1000;
        },
        Labels);
    for (const auto &[Engine, Quantile] :
         {std::pair{"worst", 1.0}, std::pair{"median", 0.5}})
      Metrics.registerGauge(
          "figlift_gateway_expected_pause_seconds",
          "Longest pause that a stream is expected to have at a decode engine",
          [this, Name = Service.Name, Quantile = Quantile] {
            return StreamMetrics::expectedPause(Name, m_Shared.Open.all(Name),
                                                m_Shared.Paces, Quantile,
                                                BootClock::now());
          },
          {{"service", Service.Name}, {"engine", Engine}});
    Metrics.registerGauge(
        "figlift_gateway_engine_start_seconds",
        "Learned: from a run whose prompt was read to its first event",
        [Costs] { return Costs().DecodeStartFixed.count() / 1000; }, Labels);
  }
}

/// Logs the cost model when it changes, so that a plan can be explained by the
/// costs that it was based on.
void Gateway::logEngineCosts(BootTime Now) {
  for (auto &[Service, Model] : m_Shared.EngineModels) {
    const engine::EngineParameters Costs = Model.parameters(Now);
    const dispatch::Milliseconds PrefillCost = Costs.PrefillPerThousandTokens;
    dispatch::Milliseconds &Logged = m_LoggedPrefillCosts[Service];
    if (std::abs((PrefillCost - Logged).count()) <=
        LoggedCostChange * Logged.count())
      continue;
    Logged = PrefillCost;
    log::logEvent(log::Level::Info, "engine-figures",
                  {{"service", Service},
                   {"readFixedMs", Costs.PrefillFixed},
                   {"readThousandTokensMs", Costs.PrefillPerThousandTokens},
                   {"readMillionPairsMs", Costs.PrefillPerMillionPairs},
                   {"fetchFixedMs", Costs.FetchFixed},
                   {"decodeReadFactor", Costs.DecodePrefillFactor},
                   {"startFixedMs", Costs.DecodeStartFixed},
                   {"transferFactor", Costs.TransferFactor},
                   {"measurements", Costs.PrefillWeight}});
  }
}

} // namespace figlift::gateway
