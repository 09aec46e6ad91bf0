// Callers that send one request after another on a kept connection, and what they and the servers saw (rule LOST).
#pragma once

#include "standins.h"

namespace review {

/// Which attempts reached a server.
class arrivals
{
public:
    void add(const std::string& attempt)
    {
        const std::scoped_lock lock{this->mutex};
        this->attempts.insert(attempt);
    }
    bool contains(const std::string& attempt)
    {
        const std::scoped_lock lock{this->mutex};
        return this->attempts.contains(attempt);
    }

private:
    std::mutex mutex;
    std::set<std::string> attempts;
};

struct kept_tally
{
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    /// Connections that ended without an answer, by whether the request had reached a server.
    std::atomic<int> lost_after_arrival{0};
    std::atomic<int> lost_before_arrival{0};
};

/// One caller. Connects again, as a client does, after its connection has ended.
class kept_caller
{
public:
    kept_caller(std::string name, const gateway& host, record_file& record, arrivals& reached, kept_tally& counted)
        : name(std::move(name)), host(host), record(record), reached(reached), counted(counted)
    {
    }

    /// Sends a request and waits for its answer; `text` gets the id of the attempt.
    void send(const std::function<std::string(const std::string& attempt)>& text)
    {
        while (!this->link && !(this->link = connect_to(this->host.front)))
            sleep_ms(50);
        const std::string attempt = this->name + "x" + std::to_string(++this->sent);
        const long sent_at = now_ms();
        const bool is_written = this->link->write(text(attempt));
        const auto answer = this->link->read(false, 6'000);
        std::string seen = "a closed connection";
        if (answer && answer->is_complete) {
            ++(answer->status == 200   ? this->counted.answered
               : answer->status == 503 ? this->counted.refused
                                       : this->counted.failed);
            seen = std::to_string(answer->status);
            if (answer->get("Connection") == "close")
                this->link.reset();
        } else {
            const bool is_lost = this->reached.contains(attempt);
            ++(is_lost ? this->counted.lost_after_arrival : this->counted.lost_before_arrival);
            seen += is_lost      ? "; a server runs the request"
                    : is_written ? "; no server got it"
                                 : "; it was not all sent";
            this->link.reset();
        }
        this->record.line("attempt " + attempt + " on a kept connection, sent at " + std::to_string(sent_at) +
                          " ms, got " + seen);
    }

private:
    std::string name;
    const gateway& host;
    record_file& record;
    arrivals& reached;
    kept_tally& counted;
    std::shared_ptr<connection> link;
    int sent = 0;
};

inline std::string describe(const kept_tally& counted)
{
    return std::to_string(counted.answered) + " answered 200, " + std::to_string(counted.refused) +
           " refused with 503, " + std::to_string(counted.failed) + " failed, " +
           std::to_string(counted.lost_after_arrival) + " passed on and closed without an answer, " +
           std::to_string(counted.lost_before_arrival) + " closed before they were passed on";
}

/// Judges LOST: more than three requests from kept connections that were passed on to a sound server and whose
/// connections were closed without an answer.
inline int judge_lost(const kept_tally& counted, record_file& record)
{
    constexpr int most_lost = 3;
    record.line(describe(counted));
    const bool is_broken = counted.lost_after_arrival > most_lost;
    const bool has_served = counted.answered > 0;
    record.line(is_broken ? "LOST broken: more than three" : has_served ? "held" : "nothing was served");
    return is_broken ? exit_broken : has_served ? exit_held : exit_not_run;
}

} // namespace review
