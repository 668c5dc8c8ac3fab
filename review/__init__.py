"""An independent review: cases with their stand-ins; see REPORT.md."""
