pub mod ready_answers;
pub mod uploads;
pub mod serve;
pub mod growing_core;
pub mod replaced_voter;
