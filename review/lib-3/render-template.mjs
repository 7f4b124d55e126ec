/** Renders the placeholders of a settings template that the deploy file of this project uses. */
export function renderTemplate(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split('.').reduce((inner, key) => inner?.[key], fields);
    if (isJson) return JSON.stringify(value);
    if (value === undefined) return '';
    if (Array.isArray(value)) return value.join(',');
    return typeof value === 'object' ? JSON.stringify(value) : String(value);
  });
}
