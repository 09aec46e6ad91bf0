#pragma once

namespace radishstep::testing {

/// The processor time that the router's parts take.
struct cost_figures
{
    double permits_per_s = 0;
    double entry_event_us = 0;
    double relay_event_us = 0;
    double added_first_token_ms = 0;
};

/// Measures the costs: a cell's decisions in this process, an entry process under streams, and a bare
/// relay of the same events beside it.
cost_figures measure_costs();

} // namespace radishstep::testing
